package reducer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// limitedDocument returns a document with the given bound for the headers of callers.
func limitedDocument(version uint64, header int) reducer.DocumentRecord {
	d := managedDocument(version, patcher.Idempotent)
	d.Limits.Header = header
	d.Limits.Idle = time.Minute
	return d
}

// documentSources are the ways in which a document reaches an entry that serves with an
// older one, or with none if the entry is starting.
var documentSources = []struct {
	name   string
	starts bool
	cause  string
	learn  func(m *managedNode, d reducer.DocumentRecord)
}{
	{"first read", true, "read from the store", func(m *managedNode, d reducer.DocumentRecord) {
		m.answerRead(reducer.TopicDocument, 2, d)
	}},
	{"later read", false, "read from the store", func(m *managedNode, d reducer.DocumentRecord) {
		m.advance(time.Second)
		m.answerRead(reducer.TopicDocument, 2, d)
	}},
	{"copy", false, "copied by e0", func(m *managedNode, d reducer.DocumentRecord) {
		m.join("e0", 1)
		m.receive(reducer.StoreCopy{Topic: reducer.TopicDocument, From: 1, Next: 2, Documents: []reducer.DocumentRecord{d}})
	}},
	{"copy of all records", false, "copied by e0", func(m *managedNode, d reducer.DocumentRecord) {
		m.join("e0", 1)
		m.receive(reducer.StoreCopy{Topic: reducer.TopicDocument, Whole: true, Next: 2, Documents: []reducer.DocumentRecord{d}})
	}},
	{"copy at the start", true, "copied by e0", func(m *managedNode, d reducer.DocumentRecord) {
		m.failRead(reducer.TopicDocument, false)
		m.join("e0", 1)
		m.receive(reducer.StoreCopy{Topic: reducer.TopicDocument, Whole: true, Next: 2, Documents: []reducer.DocumentRecord{d}})
	}},
}

// TestDocumentCause guards against a log that does not tell how an entry learnt of a
// version, so that a fault of one of the ways can't be seen in it.
func TestDocumentCause(t *testing.T) {
	for _, c := range documentSources {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newManagedNode(t)
			if !c.starts {
				m.startServing(patcher.Idempotent, "u1")
			}
			c.learn(m, limitedDocument(2, 1000))
			is.Equal(m.node.Config().Version, uint64(2))
			var causes []string
			for _, e := range m.effects {
				if a, ok := e.(reducer.Audit); ok && a.Action == "ConfigInForce" {
					causes = append(causes, a.Cause)
				}
			}
			is.Equal(causes, []string{c.cause})
		})
	}
}

// TestCallerLimits guards against an entry that routes by a version of the configuration
// but keeps the limits of an earlier one, or the defaults, for its callers.
func TestCallerLimits(t *testing.T) {
	for _, c := range documentSources {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newManagedNode(t)
			if !c.starts {
				m.startServing(patcher.Idempotent, "u1")
			}
			d := limitedDocument(2, 1000)
			c.learn(m, d)
			set, ok := lastEffect[reducer.SetCallerLimits](m)
			is.True(ok)
			is.Equal(set.Limits, d.Limits)
			is.Equal(m.node.Limits(), d.Limits)
		})
	}
}
