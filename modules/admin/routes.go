package admin

import (
	"expvar"
	"net/http"
	"net/http/pprof"
	"slices"
	"strings"
	"sync/atomic"
	"time"
	"weak"

	"github.com/hashicorp/go-hclog"
	"github.com/kataras/iris/v12"
	"github.com/kataras/iris/v12/core/router"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/state"
)

// api implements the HTTP handlers and holds their dependencies.
type api struct {
	identity kernel.Identity
	logger   hclog.Logger
	started  time.Time
	token    token
	versions *versions
	draining atomic.Bool

	source     state.Source
	appender   follower.Appender
	contact    follower.Contact
	dump       kernel.DumpFunc
	drain      kernel.DrainFunc
	peers      peer.Caller
	localMoves *peer.Handlers // nil if this process serves no peer calls

	handlers map[string]http.HandlerFunc // by path
}

// methods maps an HTTP method to its handler.
type methods map[string]http.HandlerFunc

// handler returns a handler that checks the token and then routes the request. The routes
// refer to the API weakly, because iris keeps every application until the process ends.
func (a *api) handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithConfiguration(iris.Configuration{
		DisableStartupLog:                true,
		DisableInterruptHandler:          true,
		DisablePathCorrection:            true,
		DisablePathCorrectionRedirection: true,
		DisableAutoFireStatusCode:        true,
	}))
	a.handlers = map[string]http.HandlerFunc{}
	target := weak.Make(a)
	for path, handlers := range a.routes() {
		a.handlers[path] = dispatch(handlers)
		app.Any(path, adapt(func(w http.ResponseWriter, r *http.Request) {
			if a := target.Value(); a != nil { // else the module has ended
				a.handlers[path](w, r)
			}
		}))
	}
	app.Any(adminapi.PathProfile+"/{name:path}", adapt(serveProfile))
	app.Any(adminapi.PathProfile, adapt(serveProfile))
	app.Any("/{rest:path}", adapt(notFound))
	app.Any("/", adapt(notFound))
	if err := app.Build(); err != nil {
		return nil, &BuildError{Cause: err}
	}
	return a.requireToken(rejectUnknownMethods(app)), nil
}

// rejectUnknownMethods rejects methods that the router does not support at all.
func rejectUnknownMethods(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !slices.Contains(router.AllMethods, r.Method) {
			writeFailure(w, http.StatusMethodNotAllowed, adminapi.CodeMethod, r.Method+" is not served here")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *api) routes() map[string]methods {
	return map[string]methods{
		adminapi.PathStatus:  {http.MethodGet: a.getStatus},
		adminapi.PathDump:    {http.MethodGet: a.getDump},
		adminapi.PathSite:    {http.MethodGet: a.getSite, http.MethodPost: a.postSite},
		adminapi.PathServers: {http.MethodGet: a.getServers},
		adminapi.PathShards:  {http.MethodGet: a.getShards},
		adminapi.PathGroups:  {http.MethodGet: a.getGroups},
		adminapi.PathNodes:   {http.MethodGet: a.getNodes},
		adminapi.PathDrain:   {http.MethodPost: a.postDrain},
		adminapi.PathLoss:    {http.MethodPost: a.postLoss},
		adminapi.PathMoves:   {http.MethodPost: a.postMoves},
		adminapi.PathMetrics: {http.MethodGet: expvar.Handler().ServeHTTP},
	}
}

// adapt converts a net/http handler to an iris handler.
func adapt(handler http.HandlerFunc) iris.Handler {
	return func(ctx iris.Context) { handler(ctx.ResponseWriter().Naive(), ctx.Request()) }
}

// dispatch selects the handler by method and rejects methods without one.
func dispatch(handlers methods) http.HandlerFunc {
	allowed := make([]string, 0, len(handlers))
	for method := range handlers {
		allowed = append(allowed, method)
	}
	allow := strings.Join(allowed, ", ")
	return func(w http.ResponseWriter, r *http.Request) {
		handler, exists := handlers[r.Method]
		if !exists {
			w.Header().Set("Allow", allow)
			writeFailure(w, http.StatusMethodNotAllowed, adminapi.CodeMethod, r.Method+" is not served here; "+allow+" is")
			return
		}
		handler(w, r)
	}
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, http.StatusNotFound, adminapi.CodeNotFound, "no such path: "+r.URL.Path)
}

// serveProfile serves the profiles of net/http/pprof below adminapi.PathProfile.
func serveProfile(w http.ResponseWriter, r *http.Request) {
	switch strings.TrimPrefix(r.URL.Path, adminapi.PathProfile+"/") {
	case "cmdline":
		pprof.Cmdline(w, r)
	case "profile":
		pprof.Profile(w, r)
	case "symbol":
		pprof.Symbol(w, r)
	case "trace":
		pprof.Trace(w, r)
	default:
		pprof.Index(w, r)
	}
}
