package commander

import "github.com/pkg/errors"

var (
	errUnknownFake         = errors.New("want log, list or upstream")
	errInvalidFakeUpstream = errors.New("an upstream needs at least one slot, and its mean processing time must not be negative")
	errNoUpstreams         = errors.New("the patch file defines no upstreams")
)
