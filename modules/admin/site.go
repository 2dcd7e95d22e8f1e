package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	// baseWait is the maximum time that a node waits for a base version that it has
	// not applied yet.
	baseWait = 2 * time.Second
	// siteFileName is the file name in reported problems of a published text.
	siteFileName = "site"
)

func (a *api) getSite(w http.ResponseWriter, _ *http.Request) {
	view := a.source.View()
	writeJSON(w, http.StatusOK, adminapi.Site{Version: view.SiteVersion(), Text: string(view.SiteText())})
}

// publication is an operator's request to replace the site configuration.
type publication struct {
	base  uint64
	retry bool // the same text was sent before, with an unknown outcome
	text  []byte
}

func (a *api) postSite(w http.ResponseWriter, r *http.Request) {
	request, err := readPublication(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	published, err := a.publish(r, request)
	if err != nil {
		a.logPublishFailure(r, request, failureOf(err).Code)
		writeError(w, err)
		return
	}
	metricPublished.Add(1)
	eventPublished.Log(a.logger, "version", published.Version, "repeated", published.Repeated,
		"bytes", len(request.text), "operator", operatorName(r), "remote", r.RemoteAddr)
	writeJSON(w, http.StatusOK, published)
}

func (a *api) logPublishFailure(r *http.Request, request publication, code adminapi.Code) {
	event := eventPublishRefused
	if code == adminapi.CodeOutcomeUnknown {
		event = eventPublishUncertain
	}
	event.Log(a.logger, "base", request.base, "code", string(code),
		"operator", operatorName(r), "remote", r.RemoteAddr)
}

func readPublication(w http.ResponseWriter, r *http.Request) (publication, error) {
	query := r.URL.Query()
	base, err := strconv.ParseUint(query.Get(adminapi.QueryBase), 10, 64)
	if err != nil {
		message := "the parameter base must be the version that the text replaces, 0 for the first"
		return publication{}, newFailure(http.StatusBadRequest, adminapi.Failure{Code: adminapi.CodeMalformed, Message: message})
	}
	text, err := readBody(w, r)
	return publication{base: base, retry: query.Get(adminapi.QueryRetry) == "1", text: text}, err
}

// publish validates the text against the base version and appends it to the log. The
// order of the log decides between competing publishers: the base of the second
// record is no longer in force when it is applied, so it changes nothing.
func (a *api) publish(r *http.Request, request publication) (adminapi.Published, error) {
	view, err := a.viewAtBase(r.Context(), request)
	if err != nil {
		return adminapi.Published{}, err
	}
	if view.SiteVersion() != request.base {
		return a.resolveStaleBase(view, request)
	}
	site, problems := siteconfig.ParseChange(request.text, siteFileName, view.Site())
	if len(problems) > 0 {
		metricInvalid.Add(1)
		return adminapi.Published{}, invalidError("the site configuration is not valid; nothing changed", problems)
	}
	outcome, err := a.submit(r, &bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Base:     request.base,
		Text:     request.text,
		Compiled: siteconfig.ToProto(site),
	}}})
	if err != nil {
		return adminapi.Published{}, err
	}
	view = a.source.View()
	a.versions.record(view)
	if outcome.Accepted {
		return adminapi.Published{Version: request.base + 1, InForce: view.SiteVersion()}, nil
	}
	if view.SiteVersion() != request.base {
		return a.resolveStaleBase(view, request)
	}
	return adminapi.Published{}, newFailure(http.StatusConflict, adminapi.Failure{Code: adminapi.CodeRejected, Message: outcome.Conflict + "; nothing changed"})
}

// viewAtBase returns a view in which the base version is or was in force. If this
// node has not applied the base version yet, it waits at most baseWait for it.
func (a *api) viewAtBase(ctx context.Context, request publication) (*state.View, error) {
	timer := time.NewTimer(baseWait)
	defer timer.Stop()
	for {
		changed := a.source.Changed()
		view := a.source.View()
		if view.SiteVersion() >= request.base {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, baseAheadError(view, request)
		case <-timer.C:
			return nil, baseAheadError(view, request)
		}
	}
}

func baseAheadError(view *state.View, request publication) error {
	inForce := strconv.FormatUint(view.SiteVersion(), 10)
	message := "this node knows version " + inForce + " only, so it can't replace version " +
		strconv.FormatUint(request.base, 10) + "; nothing changed"
	return conflictError(message, adminapi.Conflict{Base: request.base, InForce: view.SiteVersion(), Known: true})
}

// resolveStaleBase returns the result of a publication whose base is no longer in
// force. A retry whose text became the version after its base was already accepted;
// any other publication is a conflict.
func (a *api) resolveStaleBase(view *state.View, request publication) (adminapi.Published, error) {
	a.versions.record(view)
	same, known := a.versions.compare(request.base+1, request.text)
	if request.retry && same {
		return adminapi.Published{Version: request.base + 1, InForce: view.SiteVersion(), Repeated: true}, nil
	}
	metricConflicts.Add(1)
	message := "version " + strconv.FormatUint(view.SiteVersion(), 10) + " is in force, not " +
		strconv.FormatUint(request.base, 10) + "; nothing changed: take the text in force, change it, publish on its version"
	if request.retry && !known {
		message = "others published since, and this node did not see version " + strconv.FormatUint(request.base+1, 10) +
			": it can't tell whether your text was that version; read the text in force"
	}
	return adminapi.Published{}, conflictError(message, adminapi.Conflict{
		Base:    request.base,
		InForce: view.SiteVersion(),
		Known:   known || !request.retry,
	})
}

func conflictError(message string, first adminapi.Conflict) error {
	return newFailure(http.StatusConflict, adminapi.Failure{Code: adminapi.CodeConflict, Message: message, Conflict: &first})
}

func invalidError(message string, problems []jsonc.Problem) error {
	return newFailure(http.StatusUnprocessableEntity, adminapi.Failure{Code: adminapi.CodeInvalid, Message: message, Problems: problems})
}
