package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

const (
	// smallHeaders and largeHeaders are values of MaxHeaderBytes in the operator's document.
	smallHeaders = 16384
	largeHeaders = 65536
	// sentHeader is the size of one header of each request: above smallHeaders, well
	// below largeHeaders.
	sentHeader = 32 << 10
	// requestsEach is the number of requests to each entry.
	requestsEach = 100
)

// limitsDocument returns a version of the configuration with a bound for the size of headers.
func limitsDocument(version, maxHeader int) []byte {
	text := string(faker.Document(version, "tickets"))
	return []byte(strings.Replace(text, `"MaxHeaderBytes":16384`, fmt.Sprintf(`"MaxHeaderBytes":%d`, maxHeader), 1))
}

// playLimits checks DENIED after a version of the configuration that raises MaxHeaderBytes.
// Without the disruption, the first version has the higher bound already.
func playLimits(ctx context.Context, b *bed, trouble bool) ([]string, error) {
	first := largeHeaders
	if trouble {
		first = smallHeaders
	}
	b.store.Put(faker.TopicOperator, "config", limitsDocument(1, first))
	for i, service := range []string{"tickets", "tickets", "other"} {
		if err := b.addServer(ctx, fmt.Sprintf("i-%d", i+1), service, 5*time.Millisecond, 0); err != nil {
			return nil, err
		}
	}
	if err := b.startEntries(ctx); err != nil {
		return nil, err
	}
	pause(ctx, contact)
	if trouble {
		b.store.Put(faker.TopicOperator, "config", limitsDocument(2, largeHeaders))
		b.note("the store acknowledged version 2: MaxHeaderBytes %d in place of %d", largeHeaders, smallHeaders)
	}
	// Twice ConfigApply, and Contact besides, so that only the newest version may be in force.
	pause(ctx, 2*configApply+contact)
	return b.countDenied(ctx)
}

// countDenied sends proper requests with a large header to all entries and counts those
// that got a 4xx of the entry's own.
func (b *bed) countDenied(ctx context.Context) ([]string, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	sent, denied := 0, 0
	byEntry := make(map[string]map[string]int)
	for i := range requestsEach {
		for _, e := range b.entries {
			id := fmt.Sprintf("%s-%03d", e.settings.Name, i)
			result, err := sendLarge(ctx, client, e.settings.Callers.String(), i, id)
			if err != nil {
				return nil, err
			}
			b.note("request %s to %s: %s", id, e.settings.Name, result)
			if byEntry[e.settings.Name] == nil {
				byEntry[e.settings.Name] = make(map[string]int)
			}
			byEntry[e.settings.Name][result]++
			sent++
			if strings.HasPrefix(result, "4") && !strings.HasSuffix(result, "from a server") {
				denied++
			}
		}
	}
	for _, e := range b.entries {
		b.note("%s: %v", e.settings.Name, byEntry[e.settings.Name])
	}
	if allowed := 5 + float64(sent)/500; float64(denied) > allowed {
		return []string{fmt.Sprintf("DENIED: %d of %d proper requests got a 4xx of an entry's own, %.1f are allowed: %v", denied, sent, allowed, byEntry)}, nil
	}
	return nil, nil
}

// sendLarge sends a request with a large header and returns its status and who gave it.
// Lookups and postings alternate.
func sendLarge(ctx context.Context, c *http.Client, address string, i int, id string) (string, error) {
	method, path := http.MethodGet, "/read/x"
	if i%2 == 1 {
		method, path = http.MethodPost, "/post/x"
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := faker.NewRequest(ctx, method, address, path, id, 2500*time.Millisecond)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+strings.Repeat("a", sentHeader))
	resp, err := c.Do(req)
	if err != nil {
		return "no answer", nil //nolint:nilerr // A request without an answer is a result of the case.
	}
	defer func() { _ = resp.Body.Close() }()
	if stamp := faker.Stamp(resp.Header); stamp != "" {
		return fmt.Sprintf("%d from a server", resp.StatusCode), nil
	}
	return fmt.Sprintf("%d", resp.StatusCode), nil
}
