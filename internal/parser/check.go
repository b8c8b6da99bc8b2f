package parser

import (
	"net/netip"
	"slices"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// minToken is the least length of a token, which makes guessing over the network hopeless.
const minToken = 20

func (f *file) takeOperators(s *Settings) {
	sec := f.find(sectionOperators)
	holder := make(map[string]string)
	for _, k := range sec.keys {
		token := sec.values[k]
		if _, err := parseName(k); err != nil {
			f.add(sec.name, k, classifier.BadValue, "%s", err)
		}
		if len(token) < minToken {
			f.add(sec.name, k, classifier.BadValue, "the token has %d characters, at least %d are needed", len(token), minToken)
		}
		if other, ok := holder[token]; ok {
			f.add(sec.name, k, classifier.Contradiction, "the token is the same as that of %s", other)
		}
		holder[token] = k
		s.Operators = append(s.Operators, Operator{Name: k, Token: token})
	}
}

func (f *file) contradictions(s *Settings) {
	f.sameAddress(s)
	f.unspecified(s)
	f.pair(sectionPeerTLS, s.PeerTLS)
	f.pair(sectionAdminTLS, s.AdminTLS)
	if s.PeerTLS.Enabled() && s.PeerTLS.Authority == "" {
		f.add(sectionPeerTLS, "Authority", classifier.MissingKey, "the key is required with Certificate, or any certificate would be accepted")
	}
	if s.PeerTLS.Authority != "" && !s.PeerTLS.Enabled() {
		f.add(sectionPeerTLS, "Certificate", classifier.MissingKey, "the key is required with Authority")
	}
	open := s.Administration.IsValid() && !s.Administration.Addr().IsLoopback()
	if open && len(s.Operators) > 0 && !s.AdminTLS.Enabled() {
		f.add(sectionAdminTLS, "Certificate", classifier.Contradiction, "operators' tokens would cross the network unencrypted to %s", s.Administration)
	}
}

func (f *file) pair(section string, t TLS) {
	if t.Certificate != "" && t.Key == "" {
		f.add(section, "Key", classifier.MissingKey, "the key is required with Certificate")
	}
	if t.Key != "" && t.Certificate == "" {
		f.add(section, "Certificate", classifier.MissingKey, "the key is required with Key")
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

func (f *file) sameAddress(s *Settings) {
	seen := make(map[netip.AddrPort]string)
	for _, l := range s.listeners() {
		if other, ok := seen[l.address]; ok {
			f.add(sectionListeners, l.key, classifier.Contradiction, "%s is also the address of %s", l.address, other)
		}
		seen[l.address] = l.key
	}
}

// unspecified refuses 0.0.0.0 and ::, since these addresses are told to callers and peers.
func (f *file) unspecified(s *Settings) {
	for _, l := range s.listeners() {
		if l.address.Addr().IsUnspecified() && l.key != "Administration" {
			f.add(sectionListeners, l.key, classifier.BadValue, "%s can't be reached from other hosts; name one address of this host", l.address)
		}
	}
}
