package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

const (
	// encodedName is a word outside ASCII as it stands in a request target.
	encodedName = "%E0%A4%9F%E0%A4%BF%E0%A4%95%E0%A4%9F"
	// encodedRoute is a route whose prefix is that word.
	encodedRoute = `"ticket":{"Hostname":"h","PathPrefix":"/` + encodedName + `/","RouteType":"safe","Timeout":"1500ms","TargetLatency":"300ms","Priority":1,"Service":"tickets","MaxAttempts":2},`
	// prefixRequests is the number of lookups to each entry and path.
	prefixRequests = 40
)

// playPrefix checks CONFIG after a version of the configuration that adds a route whose
// prefix holds encoded characters. Without the disruption, the route isn't added.
func playPrefix(ctx context.Context, b *bed, trouble bool) ([]string, error) {
	b.store.Put(faker.TopicOperator, "config", faker.Document(1, "tickets"))
	for i, service := range []string{"tickets", "tickets", "other"} {
		if err := b.addServer(ctx, fmt.Sprintf("i-%d", i+1), service, 5*time.Millisecond, 0); err != nil {
			return nil, err
		}
	}
	if err := b.startEntries(ctx); err != nil {
		return nil, err
	}
	pause(ctx, contact)
	// The paths that every acknowledged version in force allows.
	paths := []string{"/read/" + encodedName + "/"}
	if trouble {
		text := strings.Replace(string(faker.Document(2, "tickets")), `"Routes":{`, `"Routes":{`+encodedRoute, 1)
		b.store.Put(faker.TopicOperator, "config", []byte(text))
		b.note("the store acknowledged version 2, which adds the safe route /%s/ to service tickets", encodedName)
		paths = append(paths, "/"+encodedName+"/")
	}
	pause(ctx, 2*configApply+contact)
	return b.lookUp(ctx, paths)
}

// lookUp sends lookups to all entries and returns those that got 404.
func (b *bed) lookUp(ctx context.Context, paths []string) ([]string, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	var broken []string
	for i := range prefixRequests {
		for _, e := range b.entries {
			for p, path := range paths {
				id := fmt.Sprintf("%s-p%d-%03d", e.settings.Name, p, i)
				status, err := b.get(ctx, client, e.settings.Callers.String(), path+id, id)
				if err != nil {
					return nil, err
				}
				if status == http.StatusNotFound {
					broken = append(broken, fmt.Sprintf("CONFIG: lookup %s of %s got 404 from %s, though its route is in force", id, path, e.settings.Name))
				}
			}
		}
	}
	return broken, nil
}

// get sends a lookup and returns the status of its response, 0 if there is none.
func (b *bed) get(ctx context.Context, c *http.Client, address, path, id string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := faker.NewRequest(ctx, http.MethodGet, address, path, id, 2500*time.Millisecond)
	if err != nil {
		return 0, err
	}
	resp, err := c.Do(req)
	if err != nil {
		b.note("lookup %s to %s%s: no answer", id, address, path)
		return 0, nil //nolint:nilerr // A request without an answer is a result of the case.
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	b.note("lookup %s to %s%s: %d, from %q", id, address, path, resp.StatusCode, faker.Stamp(resp.Header))
	return resp.StatusCode, err
}
