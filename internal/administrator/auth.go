package administrator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"net/netip"
	"strings"
)

// LocalOperator is the operator's name for changes made from this host if no tokens are configured.
const LocalOperator = "local"

// credential holds an operator's name and the digest of the token; digests have
// equal lengths, as constant-time comparison requires.
type credential struct {
	name   string
	digest [sha256.Size]byte
}

func newCredential(o Operator) credential {
	return credential{name: o.Name, digest: sha256.Sum256([]byte(o.Token))}
}

// operator returns the name of the operator that makes the request. A request
// without a token is accepted only from this host, and only if no tokens are configured.
func (a *Administrator) operator(r *http.Request) (string, bool) {
	header := r.Header.Get("Authorization")
	token, ok := strings.CutPrefix(header, "Bearer ")
	if ok {
		return a.findOperator(token)
	}
	if header != "" || len(a.operators) > 0 {
		return "", false
	}
	return LocalOperator, isLocal(r)
}

// findOperator compares the token with those of all operators, so that the
// response time reveals nothing about them.
func (a *Administrator) findOperator(token string) (name string, ok bool) {
	digest := sha256.Sum256([]byte(token))
	for _, c := range a.operators {
		if subtle.ConstantTimeCompare(digest[:], c.digest[:]) == 1 {
			name = c.name
			ok = true
		}
	}
	return name, ok
}

// isLocal reports whether the request comes from this host. The Host header is
// checked too, against DNS rebinding: a web page opened in a browser on this host
// could use a name of its own site that resolves to a loopback address.
func isLocal(r *http.Request) bool {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !from.Addr().Unmap().IsLoopback() {
		return false
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	to, err := netip.ParseAddr(strings.Trim(host, "[]"))
	return host == "localhost" || err == nil && to.Unmap().IsLoopback()
}
