package reducer

import (
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const (
	appendTimeout = 3 * time.Second
	// patchTimeout limits the time until a patch is answered.
	patchTimeout = 6 * time.Second
	// maxSubmissions limits the patches in progress at one entry.
	maxSubmissions = 64
	// maxConfirmExchanges limits the entries asked for their versions in one round.
	maxConfirmExchanges = 8
)

const (
	detailLogDown   = "the log does not answer; the patch was not appended"
	detailRefused   = "the log refused the append; the patch was not applied"
	detailBusy      = "too many patches are in progress at this entry; the patch was not appended"
	detailUncertain = "the append is not confirmed and the patch may still be applied; submit it again with the same identifier"
)

// submission is an operator's patch that waits to be accepted and confirmed.
type submission struct {
	id         string
	actor      string
	requests   []RequestID
	base       uint64
	append     uint64
	timer      *timer
	acceptance versioner.Acceptance
}

func (n *Node) patchSubmitted(ev PatchSubmitted) {
	p := ev.Patch
	if s, ok := n.config.patches[p.ID]; ok {
		s.requests = append(s.requests, ev.ID)
		return
	}
	s := &submission{id: p.ID, actor: p.Actor, requests: []RequestID{ev.ID}, base: p.Base}
	if _, ok := n.config.log.Find(p.ID); ok {
		n.trackSubmission(s)
		n.settlePatches()
		return
	}
	payload, a := n.checkPatch(ev)
	if a.Code != classifier.OK {
		n.audit(auditor.Entry{Actor: p.Actor, Action: "PatchRefused", Subject: p.ID, Cause: a.Code.String() + ": " + a.Detail, Version: a.Version})
		n.emit(a)
		return
	}
	n.trackSubmission(s)
	n.config.lastAppend++
	s.append = n.config.lastAppend
	n.emit(Append{Stream: versioner.Stream, ID: s.append, Payload: payload, Deadline: n.now.Add(appendTimeout)})
}

// checkPatch returns the log record of a patch, or an answer that refuses a patch
// that can't be applied. A base above this entry's version is left for the log to
// decide.
func (n *Node) checkPatch(ev PatchSubmitted) ([]byte, AnswerPatch) {
	current := n.config.log.Config()
	a := AnswerPatch{ID: ev.ID, Version: current.Version}
	if ev.Patch.Base < current.Version {
		a.Code = classifier.StaleVersion
		return nil, a
	}
	payload, err := versioner.EncodePatch(ev.Patch)
	if err == nil && ev.Patch.Base == current.Version && n.config.log.Configured() {
		_, err = current.Apply(ev.Patch)
	}
	switch {
	case err != nil:
		a.Code = classifier.PatchInvalid
		a.Detail = err.Error()
	case n.config.readFailed:
		a.Code = classifier.LogUnavailable
		a.Detail = detailLogDown
	case len(n.config.patches) >= maxSubmissions:
		a.Code = classifier.LogUnavailable
		a.Detail = detailBusy
	}
	return payload, a
}

func (n *Node) trackSubmission(s *submission) {
	n.config.patches[s.id] = s
	s.timer = n.runAt(n.now.Add(patchTimeout), func() { n.patchTimedOut(s) })
}

// appendFinished reads the log at once after an append, since only the order of the
// log decides whether a patch is accepted.
func (n *Node) appendFinished(ev AppendFinished) {
	if ev.Stream == auditor.Stream {
		n.auditAppended(ev)
		return
	}
	if ev.Stream != versioner.Stream {
		return
	}
	if !ev.Refused {
		n.readConfig()
		return
	}
	for _, id := range sortedKeys(n.config.patches) {
		s := n.config.patches[id]
		if s.append == ev.ID && s.append != 0 {
			n.answerSubmission(s, AnswerPatch{Code: classifier.LogUnavailable, Detail: detailRefused})
		}
	}
}

// settlePatches answers the patches whose result is certain.
func (n *Node) settlePatches() {
	if len(n.config.patches) == 0 {
		return
	}
	for _, id := range sortedKeys(n.config.patches) {
		n.settlePatch(n.config.patches[id])
	}
}

func (n *Node) settlePatch(s *submission) {
	log := n.config.log
	o, ok := log.Find(s.id)
	if !ok {
		// A record that is still to be read has a stale base, so it will be refused.
		if log.Config().Version > s.base {
			n.answerSubmission(s, AnswerPatch{Code: classifier.StaleVersion, Version: log.Config().Version})
		}
		return
	}
	if !o.Accepted {
		n.answerSubmission(s, refusedPatch(o))
		return
	}
	s.acceptance.Version = o.Version
	if len(n.unconfirmedEntries(s)) == 0 {
		n.answerSubmission(s, AnswerPatch{Code: classifier.OK, Version: o.Version})
	}
}

// confirmPatches starts exchanges with entries that have not confirmed an accepted
// patch, one patch per round, since digests take long to spread the versions of many
// entries. Until a host list has been read, the patch also waits for seeds that never
// responded; they are contacted by address.
func (n *Node) confirmPatches() {
	for _, id := range sortedKeys(n.config.patches) {
		s := n.config.patches[id]
		if s.acceptance.Version == 0 {
			continue
		}
		names := n.unconfirmedEntries(s)
		n.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, name := range names[:min(len(names), maxConfirmExchanges)] {
			n.startConfirmExchange(name)
		}
		return
	}
}

func (n *Node) startConfirmExchange(name string) {
	if e, ok := n.view.Find(name); ok {
		if e.Incarnation != 0 {
			n.startExchange(gossiper.Target{Name: name, Incarnation: e.Incarnation, Address: e.PeerAddress})
		}
		return
	}
	// View.Known names an unresolved seed by its address.
	if seed, err := netip.ParseAddrPort(name); err == nil {
		n.startExchange(gossiper.Target{Address: seed})
	}
}

func refusedPatch(o versioner.PatchOutcome) AnswerPatch {
	a := AnswerPatch{Code: classifier.PatchInvalid, Version: o.Version, Detail: o.Problem}
	if o.Stale {
		a.Code = classifier.StaleVersion
	}
	return a
}

// unconfirmedEntries returns the entries whose confirmation is needed before a
// patch is in force everywhere.
func (n *Node) unconfirmedEntries(s *submission) []string {
	var known []versioner.Confirmation
	for _, e := range n.view.Known() {
		known = append(known, versioner.Confirmation{Name: e.Name, Version: e.Version, HeardAt: e.HeardAt})
	}
	return s.acceptance.Unconfirmed(n.now, known)
}

func (n *Node) patchTimedOut(s *submission) {
	a := AnswerPatch{Code: classifier.PatchPending, Version: n.Config().Version, Detail: detailUncertain}
	if o, ok := n.config.log.Find(s.id); ok && o.Accepted {
		a = AnswerPatch{Code: classifier.PatchPending, Version: o.Version, Pending: n.unconfirmedEntries(s)}
	}
	n.answerSubmission(s, a)
}

func (n *Node) answerSubmission(s *submission, a AnswerPatch) {
	delete(n.config.patches, s.id)
	n.timers.stop(s.timer)
	if a.Version == 0 {
		a.Version = n.Config().Version
	}
	if a.Code == classifier.LogUnavailable {
		n.audit(auditor.Entry{Actor: s.actor, Action: "PatchRefused", Subject: s.id, Cause: a.Detail, Version: a.Version})
	}
	for _, id := range s.requests {
		a.ID = id
		n.emit(a)
	}
}
