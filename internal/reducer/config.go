package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	readInterval   = 500 * time.Millisecond
	readPatience   = 2 * time.Second
	appendPatience = 5 * time.Second
)

// configuration is the node's part in reading and writing the Config stream.
type configuration struct {
	log        *versioner.Log
	patches    map[string]*submission
	lastAppend uint64
}

// submission is an operator's patch that waits for its verdict.
type submission struct {
	// requests holds more than one if the operator repeats a patch that is under way.
	requests []RequestID
	append   uint64
	timer    *timer
}

func (n *Node) readConfig() {
	n.emit(ReadLog{Stream: versioner.Stream, From: n.config.log.Next(), Deadline: n.now.Add(readPatience)})
}

func (n *Node) logRead(ev LogRead) {
	if ev.Stream != versioner.Stream {
		return
	}
	before := n.config.log.Config().Version
	for _, r := range ev.Records {
		if r.Offset < n.config.log.Next() {
			continue
		}
		if v, ok := n.config.log.Fold(n.now, r.Offset, r.Payload); ok {
			n.settle(v)
		}
	}
	if n.config.log.Config().Version != before {
		n.takeConfig(n.config.log.Config())
	}
	n.after(n.now.Add(readInterval), n.readConfig)
}

func (n *Node) logFailed(ev LogFailed) {
	if ev.Stream == versioner.Stream {
		n.after(n.now.Add(readInterval), n.readConfig)
	}
}

func (n *Node) patchSubmitted(ev PatchSubmitted) {
	if s, ok := n.config.patches[ev.Patch.ID]; ok {
		s.requests = append(s.requests, ev.ID)
		return
	}
	current := n.config.log.Config()
	if ev.Patch.Base != current.Version {
		n.emit(AnswerPatch{ID: ev.ID, Code: classifier.StaleVersion, Version: current.Version})
		return
	}
	if _, err := current.Apply(ev.Patch); err != nil {
		n.emit(AnswerPatch{ID: ev.ID, Code: classifier.PatchInvalid, Version: current.Version, Detail: err.Error()})
		return
	}
	payload, err := versioner.Encode(ev.Patch)
	if err != nil {
		n.emit(AnswerPatch{ID: ev.ID, Code: classifier.PatchInvalid, Version: current.Version, Detail: err.Error()})
		return
	}
	n.config.lastAppend++
	s := &submission{requests: []RequestID{ev.ID}, append: n.config.lastAppend}
	n.config.patches[ev.Patch.ID] = s
	s.timer = n.after(n.now.Add(appendPatience), func() { n.abandon(ev.Patch.ID) })
	n.emit(Append{Stream: versioner.Stream, ID: s.append, Payload: payload, Deadline: n.now.Add(appendPatience)})
}

// appendFinished reads at once, since only the log's order gives the verdict.
func (n *Node) appendFinished(ev AppendFinished) {
	if ev.Stream == versioner.Stream && ev.OK {
		n.readConfig()
	}
}

func (n *Node) settle(v versioner.Verdict) {
	s, ok := n.config.patches[v.ID]
	if !ok {
		return
	}
	delete(n.config.patches, v.ID)
	n.timers.stop(s.timer)
	code := classifier.OK
	if !v.Accepted {
		code = classifier.StaleVersion
	}
	for _, id := range s.requests {
		n.emit(AnswerPatch{ID: id, Code: code, Version: v.Version, Detail: v.Problem})
	}
}

func (n *Node) abandon(id string) {
	s := n.config.patches[id]
	delete(n.config.patches, id)
	for _, id := range s.requests {
		n.emit(AnswerPatch{ID: id, Code: classifier.LogUnavailable, Version: n.config.log.Config().Version})
	}
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
