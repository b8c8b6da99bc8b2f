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
	appendPatience = 3 * time.Second
	// answerPatience bounds the time to the answer of a patch.
	answerPatience = 6 * time.Second
	// maxSubmissions bounds the patches in progress at one entry.
	maxSubmissions = 64
	// maxConfirm bounds the entries asked in a round for their versions.
	maxConfirm = 8
)

const (
	detailLogDown   = "the log does not answer; the patch was not appended"
	detailRefused   = "the log refused the append; the patch was not applied"
	detailBusy      = "too many patches are in progress at this entry; the patch was not appended"
	detailUncertain = "the append is not confirmed and the patch may still be applied; submit it again with the same identifier"
)

// submission is an operator's patch that waits for its verdict and acceptance.
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
		n.track(s)
		n.settle()
		return
	}
	payload, a := n.checkPatch(ev)
	if a.Code != classifier.OK {
		n.audit(auditor.Entry{Actor: p.Actor, Action: "PatchRefused", Subject: p.ID, Cause: a.Code.String() + ": " + a.Detail, Version: a.Version})
		n.emit(a)
		return
	}
	n.track(s)
	n.config.lastAppend++
	s.append = n.config.lastAppend
	n.emit(Append{Stream: versioner.Stream, ID: s.append, Payload: payload, Deadline: n.now.Add(appendPatience)})
}

// checkPatch returns the record of a patch, or an answer for one that can't be
// applied. A base above the own version is left to the log.
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
	case n.config.failing:
		a.Code = classifier.LogUnavailable
		a.Detail = detailLogDown
	case len(n.config.patches) >= maxSubmissions:
		a.Code = classifier.LogUnavailable
		a.Detail = detailBusy
	}
	return payload, a
}

func (n *Node) track(s *submission) {
	n.config.patches[s.id] = s
	s.timer = n.after(n.now.Add(answerPatience), func() { n.patienceEnded(s) })
}

// appendFinished reads at once, since only the log's order gives the verdict.
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
			n.answer(s, AnswerPatch{Code: classifier.LogUnavailable, Detail: detailRefused})
		}
	}
}

// settle answers the patches whose fate is certain.
func (n *Node) settle() {
	if len(n.config.patches) == 0 {
		return
	}
	for _, id := range sortedKeys(n.config.patches) {
		n.settleOne(n.config.patches[id])
	}
}

func (n *Node) settleOne(s *submission) {
	log := n.config.log
	f, ok := log.Find(s.id)
	if !ok {
		// A record that is still to come names a version that has passed, so it will be refused.
		if log.Config().Version > s.base {
			n.answer(s, AnswerPatch{Code: classifier.StaleVersion, Version: log.Config().Version})
		}
		return
	}
	if !f.Accepted {
		n.answer(s, refusedPatch(f))
		return
	}
	s.acceptance.Version = f.Version
	if len(n.waitingFor(s)) == 0 {
		n.answer(s, AnswerPatch{Code: classifier.OK, Version: f.Version})
	}
}

// confirm asks entries that have not confirmed an accepted patch directly, since
// digests take long to tell the versions of many entries. Until a host list was
// read, seeds that never answered are waited for too; they are asked by address.
func (n *Node) confirm() {
	for _, id := range sortedKeys(n.config.patches) {
		s := n.config.patches[id]
		if s.acceptance.Version == 0 {
			continue
		}
		names := n.waitingFor(s)
		n.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, name := range names[:min(len(names), maxConfirm)] {
			n.askWaited(name)
		}
		return
	}
}

func (n *Node) askWaited(name string) {
	if e, ok := n.view.Find(name); ok {
		if e.Incarnation != 0 {
			n.ask(gossiper.Target{Name: name, Incarnation: e.Incarnation, Address: e.PeerAddress})
		}
		return
	}
	// Known names an unresolved seed by its address.
	if seed, err := netip.ParseAddrPort(name); err == nil {
		n.ask(gossiper.Target{Address: seed})
	}
}

func refusedPatch(f versioner.Folded) AnswerPatch {
	a := AnswerPatch{Code: classifier.PatchInvalid, Version: f.Version, Detail: f.Problem}
	if f.Stale {
		a.Code = classifier.StaleVersion
	}
	return a
}

// waitingFor returns the entries without whose confirmation a patch is not in force everywhere.
func (n *Node) waitingFor(s *submission) []string {
	var known []versioner.Confirmation
	for _, e := range n.view.Known() {
		known = append(known, versioner.Confirmation{Name: e.Name, Version: e.Version, HeardAt: e.HeardAt})
	}
	return s.acceptance.Waiting(n.now, known)
}

func (n *Node) patienceEnded(s *submission) {
	a := AnswerPatch{Code: classifier.PatchPending, Version: n.Config().Version, Detail: detailUncertain}
	if f, ok := n.config.log.Find(s.id); ok && f.Accepted {
		a = AnswerPatch{Code: classifier.PatchPending, Version: f.Version, Pending: n.waitingFor(s)}
	}
	n.answer(s, a)
}

func (n *Node) answer(s *submission, a AnswerPatch) {
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
