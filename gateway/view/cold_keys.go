package view

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// maxColdSpans bounds the spans that are kept of a service. The loss of a zone moves a few for each of its servers.
const maxColdSpans = 1024

// coldSpan is a span of keys that a server took over without the handover of the owner before.
type coldSpan struct {
	ranges.Span
	at time.Time // by this node's clock
}

// IsColdKey reports whether the owner of a key has recently taken it over without a handover, so that requests for it take
// longer than others. It is known on mixed sites only, for services whose configuration states how long this lasts.
func (v *View) IsColdKey(service site.ServiceName, key ranges.Key, now time.Time) bool {
	spans := v.coldKeys[service]
	if len(spans) == 0 || !v.Guidance.IsMixedAt(now) {
		return false
	}
	for _, s := range spans {
		if s.Contains(key) && now.Sub(s.at) < v.Config.Services[service].KeyWarmUp {
			return true
		}
	}
	return false
}

// setRoutes replaces the routes, and notes the keys whose next owner has no handover. An owner that does not respond, or is
// not registered any more, has handed over nothing.
func (v *View) setRoutes(routes Routes, now time.Time) {
	before := v.Routes
	v.Routes = routes
	if v.Config == nil || !v.Guidance.IsMixedAt(now) {
		v.coldKeys = nil
		return
	}
	next := map[site.ServiceName][]coldSpan{}
	for name, service := range v.Config.Services {
		if spans := v.coldSpans(service, before.Services[name], now); len(spans) > 0 {
			next[name] = spans
		}
	}
	v.coldKeys = next
}

// coldSpans returns the cold spans of a service after its routes have changed.
func (v *View) coldSpans(service site.Service, before []ranges.Route, now time.Time) []coldSpan {
	if service.KeyWarmUp <= 0 {
		return nil
	}
	var spans []coldSpan
	for _, s := range v.coldKeys[service.Name] {
		if now.Sub(s.at) < service.KeyWarmUp {
			spans = append(spans, s)
		}
	}
	routes, i := v.Routes.Services[service.Name], 0
	for _, lost := range before {
		if _, isRegistered := v.registered[lost.Server]; lost.Server == "" || isRegistered && lost.State != ranges.Unresponsive {
			continue
		}
		for i < len(routes) && routes[i].To < lost.From {
			i++
		}
		for j := i; j < len(routes) && routes[j].From <= lost.To; j++ {
			if routes[j].Server != lost.Server && len(spans) < maxColdSpans {
				span := ranges.Span{From: max(routes[j].From, lost.From), To: min(routes[j].To, lost.To)}
				spans = append(spans, coldSpan{Span: span, at: now})
			}
		}
	}
	return spans
}
