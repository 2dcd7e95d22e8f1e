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
	// baseWait is how long a node that has not yet applied the base version
	// waits for it.
	baseWait = 2 * time.Second
	// siteName stands for the file in problems of a published text.
	siteName = "site"
)

func (a *api) getSite(w http.ResponseWriter, _ *http.Request) {
	view := a.source.View()
	writeJSON(w, http.StatusOK, adminapi.Site{Version: view.SiteVersion(), Text: string(view.SiteText())})
}

// publication is one operator's wish to replace the site configuration.
type publication struct {
	base  uint64
	retry bool // the same text was sent before and its fate is not known
	text  []byte
}

func (a *api) postSite(w http.ResponseWriter, r *http.Request) {
	wanted, err := readPublication(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	published, err := a.publish(r, wanted)
	if err != nil {
		a.logPublishFailure(r, wanted, bodyOf(err).Code)
		writeError(w, err)
		return
	}
	metricPublished.Add(1)
	eventPublished.Log(a.logger, "version", published.Version, "repeated", published.Repeated,
		"bytes", len(wanted.text), "operator", operator(r), "remote", r.RemoteAddr)
	writeJSON(w, http.StatusOK, published)
}

func (a *api) logPublishFailure(r *http.Request, wanted publication, code adminapi.Code) {
	event := eventPublishRefused
	if code == adminapi.CodeFateUnknown {
		event = eventPublishUnknown
	}
	event.Log(a.logger, "base", wanted.base, "code", string(code),
		"operator", operator(r), "remote", r.RemoteAddr)
}

func readPublication(w http.ResponseWriter, r *http.Request) (publication, error) {
	query := r.URL.Query()
	base, err := strconv.ParseUint(query.Get(adminapi.QueryBase), 10, 64)
	if err != nil {
		message := "the parameter base must be the version that the text replaces, 0 for the first"
		return publication{}, failed(http.StatusBadRequest, adminapi.Failure{Code: adminapi.CodeMalformed, Message: message})
	}
	text, err := readBody(w, r)
	return publication{base: base, retry: query.Get(adminapi.QueryRetry) == "1", text: text}, err
}

// publish validates the text against the base version and appends it. The log's
// order settles competing publishers: the record of the second finds that its
// base is no longer in force, and changes nothing.
func (a *api) publish(r *http.Request, wanted publication) (adminapi.Published, error) {
	view, err := a.viewAtBase(r.Context(), wanted)
	if err != nil {
		return adminapi.Published{}, err
	}
	if view.SiteVersion() != wanted.base {
		return a.judgeLate(view, wanted)
	}
	site, problems := siteconfig.ParseChange(wanted.text, siteName, view.Site())
	if len(problems) > 0 {
		metricInvalid.Add(1)
		return adminapi.Published{}, invalid("the site configuration is not valid; nothing changed", problems)
	}
	fate, err := a.submit(r, &bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Base:     wanted.base,
		Text:     wanted.text,
		Compiled: siteconfig.ToProto(site),
	}}})
	if err != nil {
		return adminapi.Published{}, err
	}
	view = a.source.View()
	a.versions.note(view)
	if fate.Accepted {
		return adminapi.Published{Version: wanted.base + 1, InForce: view.SiteVersion()}, nil
	}
	if view.SiteVersion() != wanted.base {
		return a.judgeLate(view, wanted)
	}
	return adminapi.Published{}, failed(http.StatusConflict, adminapi.Failure{Code: adminapi.CodeRejected, Message: fate.Conflict + "; nothing changed"})
}

// viewAtBase returns a view in which the base version is, or was, in force. A
// node that lags waits a little for it.
func (a *api) viewAtBase(ctx context.Context, wanted publication) (*state.View, error) {
	timer := time.NewTimer(baseWait)
	defer timer.Stop()
	for {
		changed := a.source.Changed()
		view := a.source.View()
		if view.SiteVersion() >= wanted.base {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, baseAhead(view, wanted)
		case <-timer.C:
			return nil, baseAhead(view, wanted)
		}
	}
}

func baseAhead(view *state.View, wanted publication) error {
	inForce := strconv.FormatUint(view.SiteVersion(), 10)
	message := "this node knows version " + inForce + " only, so it can't replace version " +
		strconv.FormatUint(wanted.base, 10) + "; nothing changed"
	return conflict(message, adminapi.Conflict{Base: wanted.base, InForce: view.SiteVersion(), Known: true})
}

// judgeLate answers a publication whose base is no longer in force. A retry
// whose text became the version after its base was accepted before.
func (a *api) judgeLate(view *state.View, wanted publication) (adminapi.Published, error) {
	a.versions.note(view)
	same, known := a.versions.compare(wanted.base+1, wanted.text)
	if wanted.retry && same {
		return adminapi.Published{Version: wanted.base + 1, InForce: view.SiteVersion(), Repeated: true}, nil
	}
	metricConflicts.Add(1)
	message := "version " + strconv.FormatUint(view.SiteVersion(), 10) + " is in force, not " +
		strconv.FormatUint(wanted.base, 10) + "; nothing changed: take the text in force, change it, publish on its version"
	if wanted.retry && !known {
		message = "others published since, and this node did not see version " + strconv.FormatUint(wanted.base+1, 10) +
			": it can't tell whether your text was that version; read the text in force"
	}
	return adminapi.Published{}, conflict(message, adminapi.Conflict{
		Base:    wanted.base,
		InForce: view.SiteVersion(),
		Known:   known || !wanted.retry,
	})
}

func conflict(message string, first adminapi.Conflict) error {
	return failed(http.StatusConflict, adminapi.Failure{Code: adminapi.CodeConflict, Message: message, Conflict: &first})
}

func invalid(message string, problems []jsonc.Problem) error {
	return failed(http.StatusUnprocessableEntity, adminapi.Failure{Code: adminapi.CodeInvalid, Message: message, Problems: problems})
}
