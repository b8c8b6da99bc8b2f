package administrator

import (
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

func (a *Administrator) currentConfig() *patcher.Config {
	var c *patcher.Config
	a.node.View(func(n *reducer.Node) { c = n.Config() })
	return c
}

func (a *Administrator) config(w http.ResponseWriter, r *http.Request, _ string) {
	c := a.currentConfig()
	if v := r.URL.Query().Get("Version"); v != "" {
		want, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			writeReply(w, Reply{Code: classifier.MalformedRequest, Version: c.Version, Detail: "Version is not a whole number"})
			return
		}
		if want != c.Version {
			writeReply(w, Reply{Code: classifier.StaleVersion, Version: c.Version})
			return
		}
	}
	writeData(w, c)
}

func (a *Administrator) patch(w http.ResponseWriter, r *http.Request, operator string) {
	p, code, detail := a.readPatch(w, r)
	if code != classifier.OK {
		a.metrics.patches.WithLabelValues(code.String()).Inc()
		writeReply(w, Reply{Code: code, Version: a.currentConfig().Version, Detail: detail})
		return
	}
	p.Actor = operator
	if p.ID == "" {
		p.ID = uuid.Must(uuid.NewV7()).String()
	}
	reply := a.submit(r.Context(), p)
	a.metrics.patches.WithLabelValues(reply.Code.String()).Inc()
	a.logger.Info("patch answered", zap.String("ID", p.ID), zap.String("Operator", operator),
		zap.Uint64("Base", p.Base), zap.Stringer("Code", reply.Code), zap.Uint64("Version", reply.Version))
	writeReply(w, reply)
}

// submit waits for the result of a patch up to the timeout.
func (a *Administrator) submit(ctx context.Context, p patcher.Patch) Reply {
	ctx, cancel := context.WithTimeout(ctx, a.patchTimeout)
	defer cancel()
	v, err := a.node.Submit(ctx, p)
	if err != nil {
		return Reply{
			Code: classifier.PatchPending, Version: a.currentConfig().Version,
			Detail: "no verdict yet; send the same patch with ID " + p.ID + " again",
		}
	}
	return Reply{Code: v.Code, Version: v.Version, Detail: v.Detail, Pending: v.Pending}
}

// readPatch reads a patch from the body of a request, or returns the code and the detail
// of the refusal. It requires the JSON content type, which a browser sends to another
// site only after a CORS preflight, as protection against CSRF.
func (a *Administrator) readPatch(w http.ResponseWriter, r *http.Request) (p patcher.Patch, code classifier.Code, detail string) {
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != "application/json" {
		return p, classifier.MalformedRequest, "Content-Type is not application/json"
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.maxPatchBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return p, classifier.BodyTooLarge, "at most " + strconv.FormatInt(a.maxPatchBytes, 10) + " bytes"
	}
	if err != nil {
		return p, classifier.MalformedRequest, err.Error()
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return p, classifier.MalformedRequest, err.Error()
	}
	if len(p.Operations) == 0 {
		return p, classifier.PatchInvalid, "the patch changes nothing"
	}
	if p.ID != "" && !patcher.ValidName(p.ID) {
		return p, classifier.PatchInvalid, "the ID is not a name"
	}
	return p, classifier.OK, ""
}

func (a *Administrator) audit(w http.ResponseWriter, _ *http.Request, _ string) {
	var entries []auditor.Entry
	a.node.View(func(n *reducer.Node) { entries = n.Trail() })
	writeData(w, entries)
}

func (a *Administrator) health(w http.ResponseWriter, r *http.Request, _ string) {
	if a.healthHandler == nil {
		writeReply(w, Reply{Code: classifier.NotOffered})
		return
	}
	a.healthHandler.ServeHTTP(w, r)
}
