package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

const (
	// forgedClients is the number of clients of each entry, forgedRequests the number of
	// postings that each of them sends, one after the other.
	forgedClients  = 3
	forgedRequests = 40
	// forgedWork is the processing time of a posting.
	forgedWork = 60 * time.Millisecond
	// forgedSequence is the Sequence in the entry of the other writer.
	forgedSequence = 1_000_000
)

// playForged checks ROUTE after another writer has written an entry without Zone, Version
// and WarmupLeft under the id of a server, which names another service than the server's own.
func playForged(ctx context.Context, b *bed, trouble bool) ([]string, error) {
	b.store.Put(faker.TopicOperator, "config", faker.Document(1, "tickets"))
	for i, service := range []string{"tickets", "tickets", "other", "other"} {
		if err := b.addServer(ctx, fmt.Sprintf("i-%d", i+1), service, forgedWork, 0); err != nil {
			return nil, err
		}
	}
	if err := b.startEntries(ctx); err != nil {
		return nil, err
	}
	pause(ctx, contact)
	if trouble {
		victim := b.servers[2]
		b.store.Put(faker.TopicServers, victim.ID, fmt.Appendf(nil,
			`{"Service":"tickets","Address":%q,"MaxConcurrency":%d,"State":"ready","Sequence":%d,"born":1}`,
			victim.Address, victim.Slots, forgedSequence))
		b.note("another writer wrote servers/%s without Zone, Version and WarmupLeft, with Service tickets; the server is of service %s", victim.ID, victim.Service)
	}
	pause(ctx, contact)
	return b.postForged(ctx)
}

// postForged sends postings to service tickets and returns those that another service ran.
func (b *bed) postForged(ctx context.Context) ([]string, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: forgedClients}}
	defer client.CloseIdleConnections()
	var clients sync.WaitGroup
	errs := make(chan error, len(b.entries)*forgedClients)
	for _, e := range b.entries {
		for c := range forgedClients {
			clients.Go(func() {
				for i := range forgedRequests {
					id := fmt.Sprintf("%s-c%d-%03d", e.settings.Name, c, i)
					if _, err := b.post(ctx, client, e.settings.Callers.String(), "/post/"+id, id); err != nil {
						errs <- err
						return
					}
				}
			})
		}
	}
	clients.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
	}
	return b.foreignRuns(), nil
}

// foreignRuns returns the postings that servers of another service than tickets ran.
func (b *bed) foreignRuns() []string {
	var broken []string
	for _, e := range b.entries {
		for c := range forgedClients {
			for i := range forgedRequests {
				id := fmt.Sprintf("%s-c%d-%03d", e.settings.Name, c, i)
				for _, s := range b.servers {
					if s.Runs(id) > 0 && s.Service != "tickets" {
						broken = append(broken, fmt.Sprintf("ROUTE: posting %s was run by %s of service %s", id, s.ID, s.Service))
					}
				}
			}
		}
	}
	return broken
}
