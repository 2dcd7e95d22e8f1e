package follow

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// routesEncoder encodes routes for other nodes. On large sites, busy keys and releases make
// the lessor change some of hundreds of ranges up to ten times per second, and responses
// with all ranges cost a node as much processor time as its requests. Nodes that have one
// of the latest versions therefore receive only the changes since then; other nodes receive
// all routes.
type routesEncoder struct {
	recent recentVersions[view.Version, view.Routes, *bspb.GatewayRoutes]
}

// encode returns the message that leads from the routes that a node has to the newest.
func (e *routesEncoder) encode(msg *bspb.FollowRequest, newest view.Routes) *bspb.GatewayRoutes {
	known := routesVersion(msg)
	isKnown := func(version view.Version) bool { return version == known }
	message, _ := e.recent.message(versioned[view.Version, view.Routes]{newest.Version(), newest}, isKnown, func(base *view.Routes) (*bspb.GatewayRoutes, bool, error) {
		message := routesMessage(newest, base)
		return message, !hasSilentRange(message), nil // such messages contain a remaining time
	}) // build returns no error
	return message
}

// versionOf returns the version that the fields of a message describe.
func versionOf(offset int64, serial uint64) view.Version {
	return view.Version{Offset: store.Offset(offset), Serial: serial}
}

// routesVersion returns the version of the routes that the calling node has. If it has
// none, the version is older than all others.
func routesVersion(msg *bspb.FollowRequest) view.Version {
	return versionOf(msg.TableOffset, msg.RoutesSerial)
}

func hasSilentRange(message *bspb.GatewayRoutes) bool {
	return slices.ContainsFunc(message.Services, func(s *bspb.ServiceRoutes) bool { return len(s.SilentMs) > 0 })
}

// routesMessage encodes routes in a few bytes per range, because every change is sent to
// every node. With a base, it encodes only the differences from it.
func routesMessage(routes view.Routes, base *view.Routes) *bspb.GatewayRoutes {
	lessor := &bspb.GatewayMember{Node: routes.Lessor.Node, Boot: routes.Lessor.Boot, Address: routes.Lessor.Address}
	message := &bspb.GatewayRoutes{Lessor: lessor, TableOffset: int64(routes.Offset), Serial: routes.Serial}
	if base != nil {
		message.Base = &bspb.RoutesBase{TableOffset: int64(base.Offset), Serial: base.Serial}
	}
	for service, list := range routes.Services {
		var before []ranges.Route
		if base != nil {
			before = base.Services[service]
		}
		message.Services = append(message.Services, serviceMessage(service, list, before))
	}
	return message
}

const (
	// stateFactor separates owner and state in a number.
	stateFactor = 4
	// sameAsBase replaces owner and state for ranges that are unchanged from the base. No
	// state has this number.
	sameAsBase = stateFactor - 1
)

// serviceMessage encodes the routes of a service. Adjacent routes that are unchanged are
// joined into one range.
func serviceMessage(service site.ServiceName, list, before []ranges.Route) *bspb.ServiceRoutes {
	message := &bspb.ServiceRoutes{Service: string(service)}
	indexes := map[site.ServerID]uint32{"": 0}
	for _, route := range list {
		for len(before) > 0 && before[0].From < route.From {
			before = before[1:]
		}
		if len(before) > 0 && before[0] == route {
			addUnchanged(message, uint32(route.Keys()))
			continue
		}
		addRoute(message, indexes, route)
	}
	return message
}

// addRoute adds one route; indexes are those of the servers that the message already
// contains.
func addRoute(message *bspb.ServiceRoutes, indexes map[site.ServerID]uint32, route ranges.Route) {
	index, exists := indexes[route.Server]
	if !exists {
		message.Servers = append(message.Servers, string(route.Server))
		index = uint32(len(message.Servers))
		indexes[route.Server] = index
	}
	message.Keys = append(message.Keys, uint32(route.Keys()))
	message.Owners = append(message.Owners, stateFactor*index+uint32(route.State))
	if route.State == ranges.Unresponsive {
		left := max(route.Until.Sub(clock.Now()), 0)
		message.SilentMs = append(message.SilentMs, uint32(left.Milliseconds()))
	}
}

func addUnchanged(message *bspb.ServiceRoutes, keys uint32) {
	last := len(message.Owners) - 1
	if last >= 0 && message.Owners[last] == sameAsBase {
		message.Keys[last] += keys
		return
	}
	message.Keys = append(message.Keys, keys)
	message.Owners = append(message.Owners, sameAsBase)
}

// decodeRoutes returns the routes of a message for a node that has known. found is false if
// the message is a change to routes that the node no longer has. The error reports a
// malformed message.
func decodeRoutes(message *bspb.GatewayRoutes, known view.Routes, from string) (routes view.Routes, found bool, err error) {
	if base := message.Base; base != nil && (known.Lessor.Boot == "" || known.Version() != versionOf(base.TableOffset, base.Serial)) {
		return view.Routes{}, false, nil
	}
	lessor := memberOf(message.Lessor)
	routes = view.Routes{
		Lessor:   ranges.Lessor{Node: lessor.Node, Boot: lessor.Boot, Address: lessor.Address},
		Offset:   store.Offset(message.TableOffset),
		Serial:   message.Serial,
		Services: map[site.ServiceName][]ranges.Route{},
	}
	for _, service := range message.Services {
		var before []ranges.Route
		if message.Base != nil {
			before = known.Services[site.ServiceName(service.Service)]
		}
		list, ok := decodeService(service, before)
		if !ok {
			return view.Routes{}, false, &MalformedError{From: from}
		}
		routes.Services[site.ServiceName(service.Service)] = list
	}
	return routes, true, nil
}

// decodeService decodes the routes of a service, which had the routes before until now.
func decodeService(message *bspb.ServiceRoutes, before []ranges.Route) (list []ranges.Route, ok bool) {
	if len(message.Keys) != len(message.Owners) {
		return nil, false
	}
	reader := routeReader{servers: message.Servers, remaining: message.SilentMs}
	list = make([]ranges.Route, 0, len(message.Keys)+len(before))
	from := ranges.Key(0)
	for i, keys := range message.Keys {
		if keys == 0 {
			return nil, false
		}
		span := ranges.Span{From: from, To: from + ranges.Key(keys) - 1}
		from = span.To + 1
		if message.Owners[i] == sameAsBase {
			kept, ok := routesIn(before, span)
			if !ok {
				return nil, false
			}
			list = append(list, kept...)
			continue
		}
		route, ok := reader.read(span, message.Owners[i])
		if !ok {
			return nil, false
		}
		list = append(list, route)
	}
	return list, from == ranges.LastKey+1
}

// routeReader decodes the routes of one message in order.
type routeReader struct {
	servers   []string
	remaining []uint32 // remaining times that have not been read yet, in milliseconds
}

func (r *routeReader) read(span ranges.Span, owner uint32) (route ranges.Route, ok bool) {
	index, state := int(owner/stateFactor), ranges.RouteState(owner%stateFactor)
	if index > len(r.servers) || state > ranges.Unresponsive {
		return ranges.Route{}, false
	}
	route = ranges.Route{Span: span, State: state}
	if index > 0 {
		route.Server = site.ServerID(r.servers[index-1])
	}
	if state != ranges.Unresponsive {
		return route, true
	}
	if len(r.remaining) == 0 {
		return ranges.Route{}, false
	}
	route.Until = clock.Now().Add(time.Duration(r.remaining[0]) * time.Millisecond)
	r.remaining = r.remaining[1:]
	return route, true
}

// routesIn returns the routes of exactly the keys in span. ok is false if span does not
// start and end at boundaries of routes.
func routesIn(list []ranges.Route, span ranges.Span) (in []ranges.Route, ok bool) {
	first, found := slices.BinarySearchFunc(list, span.From, func(r ranges.Route, key ranges.Key) int { return r.Compare(key) })
	if !found || list[first].From != span.From {
		return nil, false
	}
	last, found := slices.BinarySearchFunc(list, span.To, func(r ranges.Route, key ranges.Key) int { return r.Compare(key) })
	if !found || list[last].To != span.To {
		return nil, false
	}
	return list[first : last+1], true
}
