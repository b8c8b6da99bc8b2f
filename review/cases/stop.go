package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

const (
	// stopConnections is the number of connections, pipelined the number of lookups that
	// each client sends on its connection before it has the first response.
	stopConnections = 5
	pipelined       = 3
	// stopWork is the processing time of a lookup, well below the route's timeout of 1.5 s.
	stopWork = 400 * time.Millisecond
	// stopAfter is the time from the sending of the lookups to SIGTERM.
	stopAfter = 200 * time.Millisecond
	// stopRounds is the number of rounds, each with a planned stop of the entry.
	stopRounds = 3
	// answerWait is how long a client waits for its responses.
	answerWait = 2500 * time.Millisecond
)

// playStop checks LOST around planned stops of the entry to which clients have sent several
// lookups at once. Without the disruption, the entry is not stopped.
func playStop(ctx context.Context, b *bed, trouble bool) ([]string, error) {
	b.store.Put(faker.TopicOperator, "config", faker.Document(1, "tickets"))
	for i, service := range []string{"tickets", "tickets", "tickets", "other"} {
		if err := b.addServer(ctx, fmt.Sprintf("i-%d", i+1), service, stopWork, 0); err != nil {
			return nil, err
		}
	}
	if err := b.startEntries(ctx); err != nil {
		return nil, err
	}
	pause(ctx, contact)
	var broken []string
	for round := range stopRounds {
		lost, err := b.stopRound(ctx, round, trouble)
		if err != nil {
			return nil, err
		}
		broken = append(broken, lost...)
	}
	return broken, nil
}

// stopRound sends lookups to the second entry, stops it, and returns the lookups that a
// server ran and whose connection ended without their response.
func (b *bed) stopRound(ctx context.Context, round int, trouble bool) ([]string, error) {
	e := b.entries[1]
	var clients sync.WaitGroup
	results := make([][]string, stopConnections)
	for i := range stopConnections {
		clients.Go(func() { results[i] = b.pipeline(ctx, e.settings.Callers.String(), fmt.Sprintf("r%d-c%d", round, i)) })
	}
	pause(ctx, stopAfter)
	if trouble {
		b.note("SIGTERM to %s", e.settings.Name)
		if err := e.command.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	clients.Wait()
	if trouble {
		<-e.exited
		b.note("%s has exited: %s", e.settings.Name, e.command.ProcessState)
		if err := b.startEntry(e); err != nil {
			return nil, err
		}
		if err := e.awaitReady(ctx); err != nil {
			return nil, err
		}
	}
	pause(ctx, contact)
	var lost []string
	for _, ids := range results {
		for _, id := range ids {
			if b.runs(id) > 0 {
				lost = append(lost, fmt.Sprintf("LOST: lookup %s was passed on and run, and its connection ended without its response", id))
			}
		}
	}
	return lost, nil
}

// pipeline sends lookups on one connection and returns the ids of those that got no complete response.
func (b *bed) pipeline(ctx context.Context, address, name string) (unanswered []string) {
	var ids []string
	var out bytes.Buffer
	for i := range pipelined {
		id := fmt.Sprintf("%s-%d", name, i)
		ids = append(ids, id)
		fmt.Fprintf(&out, "GET /read/%s HTTP/1.1\r\nHost: %s\r\nAzuretrestle-Attempt-Id: %s\r\nAzuretrestle-Deadline-Ms: %d\r\n\r\n",
			id, faker.Host, id, answerWait.Milliseconds())
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		b.note("%s: no connection: %v", name, err)
		return nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(answerWait))
	if _, err := c.Write(out.Bytes()); err != nil {
		b.note("%s: not sent: %v", name, err)
		return nil
	}
	b.note("sent on one connection: %v", ids)
	in := bufio.NewReader(c)
	for i, id := range ids {
		resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil {
			b.note("%s and those behind it: connection ended without a response: %v", id, err)
			return ids[i:]
		}
		b.note("%s: %d, from %q, Connection: close %t", id, resp.StatusCode, faker.Stamp(resp.Header), resp.Close)
	}
	return nil
}
