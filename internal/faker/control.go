package faker

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// controlPath is the control endpoint of each fake: POST replaces its faults, GET returns its state.
const controlPath = "/control"

const maxControlBytes = 1 << 20

// Period is a duration that is encoded as text, such as "50ms".
type Period struct{ time.Duration }

// MarshalText formats the period as time.Duration.String does.
func (p Period) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses the period with time.ParseDuration and returns its error.
func (p *Period) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	p.Duration = d
	return err
}

// serveControl handles a request at the control path. It passes a posted
// command to set and responds with the result of state.
func serveControl[T any](w http.ResponseWriter, r *http.Request, set func(T), state func() any) {
	exemptFromSilence(r)
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		var v T
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
		if err == nil {
			err = json.Unmarshal(body, &v)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(v)
	default:
		http.Error(w, "only GET and POST", http.StatusMethodNotAllowed)
		return
	}
	writeJSON(w, state())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// pause waits for d; it returns false if the request is cancelled before then.
func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
