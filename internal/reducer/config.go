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
	readTimeout  = 2 * time.Second
	// fetchInterval is the minimum time between two requests for a newer version.
	fetchInterval = 500 * time.Millisecond
	// maxDelta limits the size in bytes of the records in an Exchange; larger sets
	// are requested separately.
	maxDelta = 8 << 10
	// maxConfigAnswer limits the size in bytes of the records in a ConfigAnswer;
	// above it, a checkpoint is sent.
	maxConfigAnswer = 128 << 10
	// checkpointPatches is the number of patches after which a checkpoint is due.
	checkpointPatches = 64
	checkpointJitter  = 30 * time.Second
	// defaultRetention applies if the settings do not set the log's retention time.
	defaultRetention = 24 * time.Hour
	// checkpointTrailRecords is the number of audit records that a checkpoint includes.
	checkpointTrailRecords = 64
)

// configuration holds the node's state for reading and writing the Config stream.
type configuration struct {
	log        *versioner.Log
	patches    map[string]*submission
	lastAppend uint64
	freshness  versioner.Freshness

	reading   bool
	readAgain bool
	readTimer *timer
	// readFailed is set while the last read of the log has failed.
	readFailed  bool
	nextFetchAt time.Time

	checkpointTimer *timer
	// encodedCheckpoint is the checkpoint at offset encodedNext, cached for peers.
	encodedCheckpoint []byte
	encodedNext       uint64
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
	n.emit(ReadLog{Stream: versioner.Stream, From: c.log.Next(), Deadline: n.now.Add(readTimeout)})
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
	c.readFailed = false
	records := make([]versioner.Record, 0, len(ev.Records))
	for _, r := range ev.Records {
		records = append(records, versioner.Record(r))
	}
	n.fold(func() []versioner.PatchOutcome { return c.log.Read(ev.First, records) })
	if !c.log.Gap() && c.log.FoldedOffset() >= ev.Tail {
		c.freshness.LogAt = later(c.freshness.LogAt, ev.AskedAt)
	}
	n.refresh()
	n.settlePatches()
	n.scheduleCheckpoint()
	n.scheduleRead(len(records) > 0 && ev.Next < ev.Tail)
}

func (n *Node) logFailed(ev LogFailed) {
	if ev.Stream == auditor.Stream {
		n.tailKnown = false
		n.scheduleAuditRead()
		return
	}
	if ev.Stream != versioner.Stream {
		return
	}
	n.config.reading = false
	n.config.readFailed = true
	n.config.readAgain = false
	n.scheduleRead(false)
}

func (n *Node) scheduleRead(more bool) {
	if more || n.config.readAgain {
		n.readConfig()
		return
	}
	n.config.readTimer = n.runAt(n.now.Add(readInterval), n.readConfig)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// fold applies a change to the log's state and puts a new version in force. The
// folded patches are audited only if the node had caught up with the log before.
func (n *Node) fold(change func() []versioner.PatchOutcome) {
	log := n.config.log
	before := log.Config().Version
	caughtUp := !n.config.freshness.LogAt.IsZero()
	outcomes := change()
	if log.Config().Version != before {
		n.applyConfig(log.Config())
	}
	n.trail.Restore(log.Trail)
	if !caughtUp {
		return
	}
	for _, o := range outcomes {
		n.auditPatchOutcome(o)
	}
}

// auditPatchOutcome writes to the audit trail whether a patch was accepted. All entries
// read this from the log, so only one of them writes it.
func (n *Node) auditPatchOutcome(o versioner.PatchOutcome) {
	e := auditor.Entry{Actor: o.Actor, Action: "PatchAccepted", Subject: o.ID, Version: o.Version}
	if !o.Accepted {
		e.Action = "PatchRefused"
		e.Cause = o.Problem
	}
	n.auditShared(e)
}

// foldPeerRecords folds records that a peer sent with an exchange.
func (n *Node) foldPeerRecords(records []gossiper.Record) {
	if len(records) == 0 {
		return
	}
	list := make([]versioner.Record, 0, len(records))
	for _, r := range records {
		list = append(list, versioner.Record{Offset: r.Offset, Payload: r.Payload})
	}
	n.fold(func() []versioner.PatchOutcome { return n.config.log.Join(list) })
}

// missingRecords returns the records that a peer lacks, or nil if they exceed maxDelta.
func (n *Node) missingRecords(next uint64) []gossiper.Record {
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

// fetchNewerConfig requests a newer version, which other entries already have, from
// one of them and from the log.
func (n *Node) fetchNewerConfig() {
	c := &n.config
	have := c.log.Config().Version
	if n.view.NewestVersion() <= have || n.now.Before(c.nextFetchAt) {
		return
	}
	var best gossiper.Entry
	for e := range n.view.All() {
		if e.Version > have && e.Name != n.Name && e.HeardAt.After(best.HeardAt) {
			best = e
		}
	}
	if best.Name != "" {
		n.send(best.Name, ConfigRequest{versioner.Request{Next: c.log.FoldedOffset()}})
	}
	c.nextFetchAt = n.now.Add(fetchInterval)
	n.readConfig()
}

func (n *Node) configRequested(from string, m ConfigRequest) {
	log := n.config.log
	if m.Next >= log.FoldedOffset() {
		return
	}
	if records, ok := log.Since(m.Next, maxConfigAnswer); ok {
		n.send(from, ConfigAnswer{versioner.Answer{Records: records}})
		return
	}
	if n.config.encodedNext != log.FoldedOffset() {
		payload, err := versioner.EncodeCheckpoint(log.Checkpoint(n.now, n.trail.Last(checkpointTrailRecords)))
		if err != nil {
			return
		}
		n.config.encodedCheckpoint = payload
		n.config.encodedNext = log.FoldedOffset()
	}
	n.send(from, ConfigAnswer{versioner.Answer{Checkpoint: n.config.encodedCheckpoint}})
}

func (n *Node) configAnswered(m ConfigAnswer) {
	n.fold(func() []versioner.PatchOutcome {
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
	n.settlePatches()
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

// scheduleCheckpoint schedules a checkpoint after a random jitter, so that usually
// only one entry writes it.
func (n *Node) scheduleCheckpoint() {
	if n.config.checkpointTimer != nil || !n.checkpointDue() {
		return
	}
	jitter := time.Duration(n.random.Int64N(int64(checkpointJitter)))
	n.config.checkpointTimer = n.runAt(n.now.Add(jitter), n.writeCheckpoint)
}

func (n *Node) writeCheckpoint() {
	n.config.checkpointTimer = nil
	if n.config.readFailed || !n.checkpointDue() {
		return
	}
	payload, err := versioner.EncodeCheckpoint(n.config.log.Checkpoint(n.now, n.trail.Last(checkpointTrailRecords)))
	if err != nil {
		return
	}
	n.config.lastAppend++
	n.emit(Append{Stream: versioner.Stream, ID: n.config.lastAppend, Payload: payload, Deadline: n.now.Add(appendTimeout)})
}

func (n *Node) applyConfig(c *patcher.Config) {
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
