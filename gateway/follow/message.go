package follow

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func memberMessage(m view.Member) *bspb.GatewayMember {
	return &bspb.GatewayMember{Node: m.Node, Boot: m.Boot, Zone: m.Zone, Address: m.Address, Strength: m.Strength}
}

func memberOf(m *bspb.GatewayMember) view.Member {
	return view.Member{Node: m.GetNode(), Boot: m.GetBoot(), Zone: m.GetZone(), Address: m.GetAddress(), Strength: m.GetStrength()}
}

func memberMessages(list []view.Member) []*bspb.GatewayMember {
	messages := make([]*bspb.GatewayMember, 0, len(list))
	for _, m := range list {
		messages = append(messages, memberMessage(m))
	}
	return messages
}

func membersOf(messages []*bspb.GatewayMember) []view.Member {
	list := make([]view.Member, 0, len(messages))
	for _, m := range messages {
		list = append(list, memberOf(m))
	}
	return list
}

func sortMembers(list []view.Member) {
	slices.SortFunc(list, func(a, b view.Member) int { return strings.Compare(a.Node, b.Node) })
}

// hashMembers tells two lists of nodes apart.
func hashMembers(list []view.Member) uint64 {
	hash := fnv.New64a()
	for _, m := range list {
		_, _ = hash.Write([]byte(m.Node + " " + m.Boot + " " + m.Zone + " " + m.Address + "\n")) // never fails
	}
	return hash.Sum64()
}

// routesMessage writes routes in a few bytes for each range, since every change
// goes to every node.
func routesMessage(routes view.Routes) *bspb.GatewayRoutes {
	lessor := &bspb.GatewayMember{Node: routes.Lessor.Node, Boot: routes.Lessor.Boot, Address: routes.Lessor.Address}
	message := &bspb.GatewayRoutes{Lessor: lessor, TableOffset: int64(routes.Offset), Serial: routes.Serial}
	for service, list := range routes.Services {
		message.Services = append(message.Services, serviceMessage(service, list))
	}
	return message
}

// stateFactor separates owner and state in a number.
const stateFactor = 4

func serviceMessage(service site.ServiceName, list []ranges.Route) *bspb.ServiceRoutes {
	message := &bspb.ServiceRoutes{Service: string(service)}
	places := map[site.ServerID]uint32{"": 0}
	for _, route := range list {
		place, exists := places[route.Server]
		if !exists {
			message.Servers = append(message.Servers, string(route.Server))
			place = uint32(len(message.Servers))
			places[route.Server] = place
		}
		message.Keys = append(message.Keys, uint32(route.Keys()))
		message.Owners = append(message.Owners, stateFactor*place+uint32(route.State))
		if route.State == ranges.Silent {
			left := max(route.Until.Sub(clock.Now()), 0)
			message.SilentMs = append(message.SilentMs, uint32(left.Milliseconds()))
		}
	}
	return message
}

// routesOf reads routes; ok is false if they are not well formed.
func routesOf(message *bspb.GatewayRoutes) (routes view.Routes, ok bool) {
	lessor := memberOf(message.Lessor)
	routes = view.Routes{
		Lessor:   ranges.Lessor{Node: lessor.Node, Boot: lessor.Boot, Address: lessor.Address},
		Offset:   store.Offset(message.TableOffset),
		Serial:   message.Serial,
		Services: map[site.ServiceName][]ranges.Route{},
	}
	for _, service := range message.Services {
		list, ok := serviceRoutes(service)
		if !ok {
			return view.Routes{}, false
		}
		routes.Services[site.ServiceName(service.Service)] = list
	}
	return routes, true
}

func serviceRoutes(message *bspb.ServiceRoutes) ([]ranges.Route, bool) {
	if len(message.Keys) != len(message.Owners) {
		return nil, false
	}
	list := make([]ranges.Route, 0, len(message.Keys))
	from := ranges.Key(0)
	silent := message.SilentMs
	for i, keys := range message.Keys {
		place, state := int(message.Owners[i]/stateFactor), ranges.RouteState(message.Owners[i]%stateFactor)
		if place > len(message.Servers) || keys == 0 {
			return nil, false
		}
		route := ranges.Route{Span: ranges.Span{From: from, To: from + ranges.Key(keys) - 1}, State: state}
		if state == ranges.Silent {
			if len(silent) == 0 {
				return nil, false
			}
			route.Until = clock.Now().Add(time.Duration(silent[0]) * time.Millisecond)
			silent = silent[1:]
		}
		if place > 0 {
			route.Server = site.ServerID(message.Servers[place-1])
		}
		list = append(list, route)
		from = route.To + 1
	}
	return list, from == ranges.LastKey+1
}

// shareUnit is the unit of a told share.
const shareUnit = 1000

func sharesMessage(shares view.Shares) *bspb.ServerShares {
	message := &bspb.ServerShares{TableOffset: int64(shares.Offset), Serial: shares.Serial}
	for id, share := range shares.Of {
		message.Servers = append(message.Servers, string(id))
		message.Shares = append(message.Shares, uint32(max(share*shareUnit, 1)))
	}
	return message
}

func sharesOf(message *bspb.ServerShares) view.Shares {
	shares := view.Shares{Offset: store.Offset(message.TableOffset), Serial: message.Serial, Of: quota.Shares{}}
	for i, id := range message.Servers {
		if i < len(message.Shares) {
			shares.Of[site.ServerID(id)] = float64(message.Shares[i]) / shareUnit
		}
	}
	return shares
}
