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
	wanted, failure := readPublication(w, r)
	if failure != nil {
		failure.write(w)
		return
	}
	published, failure := a.publish(r, wanted)
	if failure != nil {
		a.logPublishFailure(r, wanted, failure)
		failure.write(w)
		return
	}
	metricPublished.Add(1)
	eventPublished.Log(a.logger, "version", published.Version, "repeated", published.Repeated,
		"bytes", len(wanted.text), "operator", operator(r), "remote", r.RemoteAddr)
	writeJSON(w, http.StatusOK, published)
}

func (a *api) logPublishFailure(r *http.Request, wanted publication, f *failure) {
	event := eventPublishRefused
	if f.body.Code == adminapi.CodeFateUnknown {
		event = eventPublishUnknown
	}
	event.Log(a.logger, "base", wanted.base, "code", string(f.body.Code),
		"operator", operator(r), "remote", r.RemoteAddr)
}

func readPublication(w http.ResponseWriter, r *http.Request) (publication, *failure) {
	query := r.URL.Query()
	base, err := strconv.ParseUint(query.Get(adminapi.QueryBase), 10, 64)
	if err != nil {
		message := "the parameter base must be the version that the text replaces, 0 for the first"
		return publication{}, failed(http.StatusBadRequest, adminapi.CodeMalformed, message)
	}
	text, failure := readBody(w, r)
	return publication{base: base, retry: query.Get(adminapi.QueryRetry) == "1", text: text}, failure
}

// publish validates the text against the base version and appends it. The log's
// order settles competing publishers: the record of the second finds that its
// base is no longer in force, and changes nothing.
func (a *api) publish(r *http.Request, wanted publication) (adminapi.Published, *failure) {
	view, failure := a.viewAtBase(r.Context(), wanted)
	if failure != nil {
		return adminapi.Published{}, failure
	}
	if view.SiteVersion() != wanted.base {
		return a.judgeLate(view, wanted)
	}
	site, problems := siteconfig.ParseChange(wanted.text, siteName, view.Site())
	if len(problems) > 0 {
		metricInvalid.Add(1)
		return adminapi.Published{}, invalid("the site configuration is not valid; nothing changed", problems)
	}
	fate, failure := a.submit(r, &bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Base:     wanted.base,
		Text:     wanted.text,
		Compiled: siteconfig.ToProto(site),
	}}})
	if failure != nil {
		return adminapi.Published{}, failure
	}
	view = a.source.View()
	a.versions.note(view)
	if fate.Accepted {
		return adminapi.Published{Version: wanted.base + 1, InForce: view.SiteVersion()}, nil
	}
	if view.SiteVersion() != wanted.base {
		return a.judgeLate(view, wanted)
	}
	return adminapi.Published{}, failed(http.StatusConflict, adminapi.CodeRejected, fate.Conflict+"; nothing changed")
}

// viewAtBase returns a view in which the base version is, or was, in force. A
// node that lags waits a little for it.
func (a *api) viewAtBase(ctx context.Context, wanted publication) (*state.View, *failure) {
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

func baseAhead(view *state.View, wanted publication) *failure {
	inForce := strconv.FormatUint(view.SiteVersion(), 10)
	message := "this node knows version " + inForce + " only, so it can't replace version " +
		strconv.FormatUint(wanted.base, 10) + "; nothing changed"
	f := failed(http.StatusConflict, adminapi.CodeConflict, message)
	f.body.Conflict = &adminapi.Conflict{Base: wanted.base, InForce: view.SiteVersion(), Known: true}
	return f
}

// judgeLate answers a publication whose base is no longer in force. A retry
// whose text became the version after its base was accepted before.
func (a *api) judgeLate(view *state.View, wanted publication) (adminapi.Published, *failure) {
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
	f := failed(http.StatusConflict, adminapi.CodeConflict, message)
	f.body.Conflict = &adminapi.Conflict{
		Base:    wanted.base,
		InForce: view.SiteVersion(),
		Known:   known || !wanted.retry,
	}
	return adminapi.Published{}, f
}

func invalid(message string, problems []jsonc.Problem) *failure {
	f := failed(http.StatusUnprocessableEntity, adminapi.CodeInvalid, message)
	f.body.Problems = problems
	return f
}
