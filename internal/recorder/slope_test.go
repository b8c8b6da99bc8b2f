package recorder_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/faker"
	"github.com/azuretrestle/azuretrestle/internal/recorder"
	"github.com/azuretrestle/azuretrestle/internal/sizer"
)

// slopeHosts returns hosts with names and addresses as long as those of a deployment in
// 14 data centres.
func slopeHosts(count int) []faker.Host {
	var out []faker.Host
	for i := range count {
		out = append(out, faker.Host{
			Name:       fmt.Sprintf("server-%04d", i),
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 20, byte(i >> 8), byte(i)}), 8080),
			DataCentre: fmt.Sprintf("region-%d-dc-%02d", i%4, i%14), Role: fmt.Sprintf("Service%03d", i%100),
		})
	}
	return out
}

// newMeasuredClient returns a client and a function that measures the bytes of one use of the
// client on a connection that is already open.
func newMeasuredClient(t *testing.T, list *faker.List, log *faker.Log) (*recorder.Client, func(use func(*recorder.Client) error) float64) {
	t.Helper()
	var bytes atomic.Int64
	newCountingListener := func() net.Listener {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return sizer.CountingListener{Listener: lis, Bytes: &bytes}
	}
	l, h := faker.Start(newCountingListener(), log.Handler()), faker.Start(newCountingListener(), list.Handler())
	c := recorder.NewClient(l.Address(), h.Address())
	t.Cleanup(func() {
		c.Close()
		l.Close()
		h.Close()
	})
	return c, func(use func(*recorder.Client) error) float64 {
		if err := use(c); err != nil {
			t.Fatal(err)
		}
		before := stableCount(&bytes)
		if err := use(c); err != nil {
			t.Fatal(err)
		}
		return float64(stableCount(&bytes) - before)
	}
}

// stableCount waits until the count stops growing, because the server counts written bytes
// only after the client may have read them.
func stableCount(count *atomic.Int64) int64 {
	const pause = 10 * time.Millisecond
	for last := count.Load(); ; last = count.Load() {
		time.Sleep(pause)
		if count.Load() == last {
			return last
		}
	}
}

// TestSlopeHostList reports the bytes and the time of one read of the host list. The list
// holds all servers, so its size is proportional to their number. The test guards against
// faster growth.
func TestSlopeHostList(t *testing.T) {
	const maxGrowth = 1.1
	perHost := make(map[int]float64)
	for _, hosts := range []int{13, 130, 1300} {
		list := new(faker.List)
		list.SetHosts(slopeHosts(hosts))
		client, measure := newMeasuredClient(t, list, faker.NewLog())
		n := measure(func(c *recorder.Client) error {
			_, err := c.Hosts(context.Background())
			return err
		})
		took := sizer.ShortestRun(20, func() {
			_, err := client.Hosts(context.Background())
			is.New(t).NoErr(err)
		})
		// The time of one read includes the processing time of the fake host list.
		t.Log(sizer.Sample{Quantity: "host-list-us", Size: hosts, Value: float64(took.Microseconds())})
		perHost[hosts] = n / float64(hosts)
		t.Log(sizer.Sample{Quantity: "host-list-bytes", Size: hosts, Value: n})
	}
	is.New(t).True(perHost[1300] <= maxGrowth*perHost[13])
}

// TestSlopeLog reports the bytes of reads and appends. It guards against a read at the
// tail whose size grows with the number of records in the log.
func TestSlopeLog(t *testing.T) {
	is := is.New(t)
	const maxGrowth = 1.1
	reads := make(map[int]float64)
	for _, records := range []int{1, 16, 256} {
		_, measure := newMeasuredClient(t, new(faker.List), faker.NewLog())
		batch := make([]auditor.Entry, records)
		for i := range batch {
			batch[i] = auditor.Entry{
				At: time.Date(2026, 1, 1, 0, 0, 0, 1, time.UTC), Actor: "entry-017", Action: "MemberSilent",
				Subject: "entry-018", Cause: "no sign of life", Version: 1000, Origin: auditor.Origin("entry-017", 1<<48, 1000),
			}
		}
		var buffer auditor.Buffer
		for _, e := range batch {
			buffer.Add(e)
		}
		payload, ok := buffer.Next(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
		is.True(ok)
		appended := measure(func(c *recorder.Client) error {
			_, err := c.Append(context.Background(), auditor.Stream, payload)
			return err
		})
		for range records {
			measure(func(c *recorder.Client) error {
				_, err := c.Append(context.Background(), "Config", []byte("{}"))
				return err
			})
		}
		reads[records] = measure(func(c *recorder.Client) error {
			_, err := c.Read(context.Background(), "Config", 1<<30)
			return err
		})
		t.Log(sizer.Sample{Quantity: "audit-append-bytes", Size: records, Value: appended})
		t.Log(sizer.Sample{Quantity: "tail-read-bytes", Size: records, Value: reads[records]})
	}
	is.True(reads[256] <= maxGrowth*reads[1])
}
