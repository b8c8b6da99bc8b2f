package parser

import (
	"net/netip"
	"slices"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// minTokenLength is the minimum length of a token in bytes; it makes guessing over the network infeasible.
const minTokenLength = 20

func (f *file) readOperators(s *Settings) {
	sec := f.findSection(sectionOperators)
	operatorByToken := make(map[string]string)
	for _, k := range sec.keys {
		token := sec.values[k]
		if _, err := parseName(k); err != nil {
			f.addProblem(sec.name, k, classifier.BadValue, "%s", err)
		}
		if len(token) < minTokenLength {
			f.addProblem(sec.name, k, classifier.BadValue, "the token has %d characters, at least %d are needed", len(token), minTokenLength)
		}
		if other, ok := operatorByToken[token]; ok {
			f.addProblem(sec.name, k, classifier.Contradiction, "the token is the same as that of %s", other)
		}
		operatorByToken[token] = k
		s.Operators = append(s.Operators, Operator{Name: k, Token: token})
	}
}

func (f *file) checkConflicts(s *Settings) {
	f.checkDuplicateAddresses(s)
	f.checkUnspecified(s)
	f.checkKeyPair(sectionPeerTLS, s.PeerTLS)
	f.checkKeyPair(sectionAdminTLS, s.AdminTLS)
	if s.PeerTLS.Enabled() && s.PeerTLS.Authority == "" {
		f.addProblem(sectionPeerTLS, "Authority", classifier.MissingKey, "the key is required with Certificate, or any certificate would be accepted")
	}
	if s.PeerTLS.Authority != "" && !s.PeerTLS.Enabled() {
		f.addProblem(sectionPeerTLS, "Certificate", classifier.MissingKey, "the key is required with Authority")
	}
	exposed := s.Administration.IsValid() && !s.Administration.Addr().IsLoopback()
	if exposed && len(s.Operators) > 0 && !s.AdminTLS.Enabled() {
		f.addProblem(sectionAdminTLS, "Certificate", classifier.Contradiction, "operators' tokens would cross the network unencrypted to %s", s.Administration)
	}
}

func (f *file) checkKeyPair(section string, t TLS) {
	if t.Certificate != "" && t.Key == "" {
		f.addProblem(section, "Key", classifier.MissingKey, "the key is required with Certificate")
	}
	if t.Key != "" && t.Certificate == "" {
		f.addProblem(section, "Certificate", classifier.MissingKey, "the key is required with Key")
	}
}

type listener struct {
	key     string
	address netip.AddrPort
}

func (s *Settings) listeners() []listener {
	all := []listener{{"Callers", s.Callers}, {"Peers", s.Peers}, {"Administration", s.Administration}}
	return slices.DeleteFunc(all, func(l listener) bool { return !l.address.IsValid() })
}

func (f *file) checkDuplicateAddresses(s *Settings) {
	seen := make(map[netip.AddrPort]string)
	for _, l := range s.listeners() {
		if other, ok := seen[l.address]; ok {
			f.addProblem(sectionListeners, l.key, classifier.Contradiction, "%s is also the address of %s", l.address, other)
		}
		seen[l.address] = l.key
	}
}

// checkUnspecified refuses 0.0.0.0 and :: as addresses of the listeners for callers and peers,
// since these addresses are announced to them.
func (f *file) checkUnspecified(s *Settings) {
	for _, l := range s.listeners() {
		if l.address.Addr().IsUnspecified() && l.key != "Administration" {
			f.addProblem(sectionListeners, l.key, classifier.BadValue, "%s can't be reached from other hosts; name one address of this host", l.address)
		}
	}
}
