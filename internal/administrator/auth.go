package administrator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"net/netip"
	"strings"
)

// LocalOperator is the name under which this host makes changes if no tokens are set.
const LocalOperator = "local"

// holder keeps a digest of the token, so that comparisons have one length.
type holder struct {
	name   string
	digest [sha256.Size]byte
}

func newHolder(o Operator) holder {
	return holder{name: o.Name, digest: sha256.Sum256([]byte(o.Token))}
}

// operator returns who makes the request. Without a token only this host may
// call, and only if no tokens are set.
func (a *Administrator) operator(r *http.Request) (string, bool) {
	header := r.Header.Get("Authorization")
	token, ok := strings.CutPrefix(header, "Bearer ")
	if ok {
		return a.find(token)
	}
	if header != "" || len(a.operators) > 0 {
		return "", false
	}
	return LocalOperator, local(r)
}

// find compares with every token, so that the time doesn't tell which one was close.
func (a *Administrator) find(token string) (name string, ok bool) {
	digest := sha256.Sum256([]byte(token))
	for _, h := range a.operators {
		if subtle.ConstantTimeCompare(digest[:], h.digest[:]) == 1 {
			name = h.name
			ok = true
		}
	}
	return name, ok
}

// local reports whether the request comes from this host. The Host header is
// checked too, since a browser on this host could be led here by a name of
// another site that resolves to a loopback address.
func local(r *http.Request) bool {
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
