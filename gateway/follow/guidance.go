package follow

import (
	"maps"
	"slices"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	// speedUnit is the value of a typical service time in a message, which has speeds in thousandths.
	speedUnit = 1000
	// microsecond is the unit of work in a message, in seconds.
	microsecond = 1e-6
)

func newerGuidance(v *view.View, msg *bspb.FollowRequest) bool {
	return v.Guidance.Version().IsAfter(versionOf(msg.GuidanceOffset, msg.GuidanceSerial))
}

func guidanceMessage(g view.Guidance) *bspb.Guidance {
	message := &bspb.Guidance{TableOffset: int64(g.Offset), Serial: g.Serial}
	for _, service := range g.Mixed {
		message.MixedServices = append(message.MixedServices, string(service))
	}
	for id, speed := range g.Speeds {
		message.Servers = append(message.Servers, string(id))
		message.Speeds = append(message.Speeds, uint32(max(speed*speedUnit, 1)))
	}
	for _, id := range slices.Sorted(maps.Keys(g.Concurrency)) {
		message.LimitedServers = append(message.LimitedServers, string(id))
		message.Concurrency = append(message.Concurrency, uint32(max(g.Concurrency[id], 1)))
	}
	for route, work := range g.Work {
		message.Routes = append(message.Routes, route)
		message.WorkUs = append(message.WorkUs, uint32(max(work/microsecond, 1)))
	}
	for _, service := range slices.Sorted(maps.Keys(g.Admissions)) {
		message.Admissions = append(message.Admissions, admissionMessage(service, g.Admissions[service]))
	}
	return message
}

func admissionMessage(service site.ServiceName, admission guidance.Admission) *bspb.ServiceAdmission {
	message := &bspb.ServiceAdmission{Service: string(service)}
	for _, priority := range slices.Sorted(maps.Keys(admission)) {
		message.Priorities = append(message.Priorities, uint32(max(priority, 0)))
		message.Shares = append(message.Shares, uint32(max(admission[priority]*shareUnit, 1)))
	}
	return message
}

func guidanceOf(message *bspb.Guidance) view.Guidance {
	g := view.Guidance{Offset: store.Offset(message.TableOffset), Serial: message.Serial}
	for _, service := range message.MixedServices {
		g.Mixed = append(g.Mixed, site.ServiceName(service))
	}
	slices.Sort(g.Mixed)
	g.Speeds = make(map[site.ServerID]float64, len(message.Servers))
	for i, id := range message.Servers[:min(len(message.Servers), len(message.Speeds))] {
		g.Speeds[site.ServerID(id)] = float64(message.Speeds[i]) / speedUnit
	}
	g.Concurrency = make(map[site.ServerID]int, len(message.LimitedServers))
	for i, id := range message.LimitedServers[:min(len(message.LimitedServers), len(message.Concurrency))] {
		g.Concurrency[site.ServerID(id)] = int(message.Concurrency[i])
	}
	g.Work = make(map[string]float64, len(message.Routes))
	for i, route := range message.Routes[:min(len(message.Routes), len(message.WorkUs))] {
		g.Work[route] = float64(message.WorkUs[i]) * microsecond
	}
	g.Admissions = make(map[site.ServiceName]guidance.Admission, len(message.Admissions))
	for _, a := range message.Admissions {
		admission := guidance.Admission{}
		for i, priority := range a.Priorities[:min(len(a.Priorities), len(a.Shares))] {
			admission[int(priority)] = float64(a.Shares[i]) / shareUnit
		}
		g.Admissions[site.ServiceName(a.Service)] = admission
	}
	return g
}
