package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	readInterval = time.Second
	readPatience = 2 * time.Second
	// fetchInterval bounds the requests for a newer version.
	fetchInterval = 500 * time.Millisecond
	// maxDelta bounds the records within an Exchange in bytes; more are asked for separately.
	maxDelta = 8 << 10
	// maxAnswer bounds the records in a ConfigAnswer in bytes; beyond, a checkpoint is sent.
	maxAnswer = 128 << 10
	// checkpointPatches is the number of patches after which a checkpoint is due.
	checkpointPatches = 64
	checkpointJitter  = 30 * time.Second
	// defaultRetention is assumed if the settings don't name the log's retention time.
	defaultRetention = 24 * time.Hour
	// trailRepeated is the number of audit records that a checkpoint repeats.
	trailRepeated = 64
)

// configuration is the node's part in reading and writing the Config stream.
type configuration struct {
	log        *versioner.Log
	patches    map[string]*submission
	lastAppend uint64
	fresh      versioner.Freshness

	reading   bool
	readAgain bool
	readTimer *timer
	// failing is set while the last read of the log had no answer.
	failing bool
	fetchAt time.Time

	checkpointTimer *timer
	// encoded is the state at encodedNext as a checkpoint, for peers.
	encoded     []byte
	encodedNext uint64
}

// readConfig reads the stream now, or again once the read in progress ends.
func (n *Node) readConfig() {
	c := &n.config
	if c.reading {
		c.readAgain = true
		return
	}
	n.timers.stop(c.readTimer)
	c.reading = true
	c.readAgain = false
	n.emit(ReadLog{Stream: versioner.Stream, From: c.log.Next(), Deadline: n.now.Add(readPatience)})
}

func (n *Node) logRead(ev LogRead) {
	if ev.Stream == auditor.Stream {
		n.auditRead(ev)
		return
	}
	if ev.Stream != versioner.Stream {
		return
	}
	c := &n.config
	c.reading = false
	c.failing = false
	records := make([]versioner.Record, 0, len(ev.Records))
	for _, r := range ev.Records {
		records = append(records, versioner.Record(r))
	}
	n.fold(func() []versioner.Folded { return c.log.Read(ev.First, records) })
	if !c.log.Gap() && c.log.Folded() >= ev.Tail {
		c.fresh.LogAt = later(c.fresh.LogAt, ev.AskedAt)
	}
	n.refresh()
	n.settle()
	n.scheduleCheckpoint()
	n.scheduleRead(len(records) > 0 && ev.Next < ev.Tail)
}

func (n *Node) logFailed(ev LogFailed) {
	if ev.Stream == auditor.Stream {
		n.located = false
		n.scheduleAuditRead()
		return
	}
	if ev.Stream != versioner.Stream {
		return
	}
	n.config.reading = false
	n.config.failing = true
	n.config.readAgain = false
	n.scheduleRead(false)
}

func (n *Node) scheduleRead(more bool) {
	if more || n.config.readAgain {
		n.readConfig()
		return
	}
	n.config.readTimer = n.after(n.now.Add(readInterval), n.readConfig)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// fold runs a change of the log's state and puts a new version in force.
func (n *Node) fold(change func() []versioner.Folded) {
	log := n.config.log
	before := log.Config().Version
	caughtUp := !n.config.fresh.LogAt.IsZero()
	folded := change()
	if log.Config().Version != before {
		n.takeConfig(log.Config())
	}
	n.trail.Restore(log.Trail)
	if !caughtUp {
		return
	}
	for _, f := range folded {
		n.auditFolded(f)
	}
}

// auditFolded records the fate of a patch, which all entries read from the log.
func (n *Node) auditFolded(f versioner.Folded) {
	e := auditor.Entry{Actor: f.Actor, Action: "PatchAccepted", Subject: f.ID, Version: f.Version}
	if !f.Accepted {
		e.Action = "PatchRefused"
		e.Cause = f.Problem
	}
	n.auditShared(e)
}

// takeRecords folds records that a peer sent along with a message.
func (n *Node) takeRecords(records []gossiper.Record) {
	if len(records) == 0 {
		return
	}
	list := make([]versioner.Record, 0, len(records))
	for _, r := range records {
		list = append(list, versioner.Record{Offset: r.Offset, Payload: r.Payload})
	}
	n.fold(func() []versioner.Folded { return n.config.log.Join(list) })
}

// delta returns the records that a peer lacks, if they are few.
func (n *Node) delta(next uint64) []gossiper.Record {
	records, ok := n.config.log.Since(next, maxDelta)
	if !ok {
		return nil
	}
	var out []gossiper.Record
	for _, r := range records {
		out = append(out, gossiper.Record{Offset: r.Offset, Payload: r.Payload})
	}
	return out
}

// fetch asks a peer and the log for a version that was heard of.
func (n *Node) fetch() {
	c := &n.config
	have := c.log.Config().Version
	if n.view.Top() <= have || n.now.Before(c.fetchAt) {
		return
	}
	var best gossiper.Entry
	for e := range n.view.All() {
		if e.Version > have && e.Name != n.Name && e.HeardAt.After(best.HeardAt) {
			best = e
		}
	}
	if best.Name != "" {
		n.send(best.Name, ConfigRequest{versioner.Request{Next: c.log.Folded()}})
	}
	c.fetchAt = n.now.Add(fetchInterval)
	n.readConfig()
}

func (n *Node) configRequested(from string, m ConfigRequest) {
	log := n.config.log
	if m.Next >= log.Folded() {
		return
	}
	if records, ok := log.Since(m.Next, maxAnswer); ok {
		n.send(from, ConfigAnswer{versioner.Answer{Records: records}})
		return
	}
	if n.config.encodedNext != log.Folded() {
		payload, err := versioner.EncodeCheckpoint(log.Checkpoint(n.now, n.trail.Last(trailRepeated)))
		if err != nil {
			return
		}
		n.config.encoded = payload
		n.config.encodedNext = log.Folded()
	}
	n.send(from, ConfigAnswer{versioner.Answer{Checkpoint: n.config.encoded}})
}

func (n *Node) configAnswered(m ConfigAnswer) {
	n.fold(func() []versioner.Folded {
		if len(m.Checkpoint) == 0 {
			return n.config.log.Join(m.Records)
		}
		c, err := versioner.DecodeCheckpoint(m.Checkpoint)
		if err != nil {
			return nil
		}
		return n.config.log.Adopt(c)
	})
	n.refresh()
	n.settle()
}

// checkpointDue reports whether enough patches or time have passed since the last checkpoint.
func (n *Node) checkpointDue() bool {
	log := n.config.log
	if log.Gap() || log.Config().Version == 0 || n.state != gossiper.Alive {
		return false
	}
	if log.SinceCheckpoint >= checkpointPatches {
		return true
	}
	retention := n.LogRetention
	if retention == 0 {
		retention = defaultRetention
	}
	return n.now.Sub(log.CheckpointAt) >= retention/4
}

// scheduleCheckpoint waits a random time, so that usually one entry writes the checkpoint.
func (n *Node) scheduleCheckpoint() {
	if n.config.checkpointTimer != nil || !n.checkpointDue() {
		return
	}
	jitter := time.Duration(n.random.Int64N(int64(checkpointJitter)))
	n.config.checkpointTimer = n.after(n.now.Add(jitter), n.writeCheckpoint)
}

func (n *Node) writeCheckpoint() {
	n.config.checkpointTimer = nil
	if n.config.failing || !n.checkpointDue() {
		return
	}
	payload, err := versioner.EncodeCheckpoint(n.config.log.Checkpoint(n.now, n.trail.Last(trailRepeated)))
	if err != nil {
		return
	}
	n.config.lastAppend++
	n.emit(Append{Stream: versioner.Stream, ID: n.config.lastAppend, Payload: payload, Deadline: n.now.Add(appendPatience)})
}

func (n *Node) takeConfig(c *patcher.Config) {
	for i := range c.Services {
		s := &c.Services[i]
		have, ok := n.services[s.Name]
		if !ok {
			have = newService(n, s.Name)
			n.services[s.Name] = have
		}
		have.update(s)
	}
	for _, name := range sortedKeys(n.services) {
		if _, ok := c.Service(name); !ok {
			n.services[name].removed = true
		}
	}
}
