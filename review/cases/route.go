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
	// routeRequests is the number of postings to each entry.
	routeRequests = 100
	// slowEvery is the number of runs of a server of which one is slow.
	slowEvery = 25
	// addedRoute is a safe route to another service, below the prefix of the route for postings.
	addedRoute = `"preview":{"Hostname":"h","PathPrefix":"/post/preview/","RouteType":"safe","Timeout":"1500ms","TargetLatency":"300ms","Priority":1,"Service":"other","MaxAttempts":2},`
)

// playRoute checks ROUTE after a version of the configuration that adds a route, with postings
// whose path holds an encoded slash. Without the disruption, the route isn't added.
func playRoute(ctx context.Context, b *bed, trouble bool) ([]string, error) {
	b.store.Put(faker.TopicOperator, "config", faker.Document(1, "tickets"))
	for i, service := range []string{"tickets", "tickets", "other", "other"} {
		if err := b.addServer(ctx, fmt.Sprintf("i-%d", i+1), service, 5*time.Millisecond, slowEvery); err != nil {
			return nil, err
		}
	}
	if err := b.startEntries(ctx); err != nil {
		return nil, err
	}
	pause(ctx, contact)
	if trouble {
		text := strings.Replace(string(faker.Document(2, "tickets")), `"Routes":{`, `"Routes":{`+addedRoute, 1)
		b.store.Put(faker.TopicOperator, "config", []byte(text))
		b.note("the store acknowledged version 2, which adds the safe route /post/preview/ to service other")
	}
	pause(ctx, 2*configApply+contact)
	return b.postEncoded(ctx)
}

// postEncoded sends postings that only the route /post/ matches, and returns those that
// another service ran.
func (b *bed) postEncoded(ctx context.Context) ([]string, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	var broken []string
	for i := range routeRequests {
		for _, e := range b.entries {
			id := fmt.Sprintf("%s-%03d", e.settings.Name, i)
			answer, err := b.post(ctx, client, e.settings.Callers.String(), "/post/preview%2F"+id, id)
			if err != nil {
				return nil, err
			}
			for _, s := range b.servers {
				if n := s.Runs(id); n > 0 && s.Service != "tickets" {
					broken = append(broken, fmt.Sprintf("ROUTE: posting %s was run by %s of service %s; its client got %q", id, s.ID, s.Service, answer))
				}
			}
			if n := b.runs(id); n > 1 {
				broken = append(broken, fmt.Sprintf("TWICE: posting %s ran %d times", id, n))
			}
		}
	}
	return broken, nil
}

// post sends a posting and returns the status and the body of its response.
func (b *bed) post(ctx context.Context, c *http.Client, address, path, id string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := faker.NewRequest(ctx, http.MethodPost, address, path, id, 2500*time.Millisecond)
	if err != nil {
		return "", err
	}
	resp, err := c.Do(req)
	if err != nil {
		return "no answer", nil //nolint:nilerr // A request without an answer is a result of the case.
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	answer := fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(body)))
	b.note("posting %s to %s%s: %s", id, address, path, answer)
	return answer, err
}
