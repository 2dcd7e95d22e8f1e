package siteconfig

import (
	"fmt"
	"sort"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// foreverMillis is the encoding of Forever in milliseconds.
const foreverMillis = -1

// ConvertError reports an invalid compiled site configuration.
type ConvertError struct {
	Service topo.Service // empty if the fault is not in a single service
	Problem string
}

// Error implements error.
func (e *ConvertError) Error() string {
	return fmt.Sprintf("compiled site configuration: service %q: %s", e.Service, e.Problem)
}

// ToProto encodes a site. Equal sites have equal encodings.
func ToProto(site *Site) *bspb.SiteConfig {
	message := &bspb.SiteConfig{
		GroupsPerZone: uint32(site.GroupsPerZone),
		TrustVmList:   site.TrustVMList,
	}
	for zone, lost := range site.LostZones {
		if lost {
			message.LostZones = append(message.LostZones, string(zone))
		}
	}
	sort.Strings(message.LostZones)
	for _, name := range sortedServices(site.Services) {
		message.Services = append(message.Services, ServiceToProto(site.Services[name]))
	}
	return message
}

// FromProto decodes a site. It fails with a *ConvertError on a message that
// processes could apply in different ways.
func FromProto(message *bspb.SiteConfig) (*Site, error) {
	if message == nil {
		return nil, &ConvertError{Problem: "missing"}
	}
	site := &Site{
		Services:      make(map[topo.Service]*Service, len(message.GetServices())),
		LostZones:     make(map[topo.Zone]bool, len(message.GetLostZones())),
		GroupsPerZone: int(message.GetGroupsPerZone()),
		TrustVMList:   message.GetTrustVmList(),
	}
	for _, zone := range message.GetLostZones() {
		site.LostZones[topo.Zone(zone)] = true
	}
	for _, encoded := range message.GetServices() {
		service, err := ServiceFromProto(encoded)
		if err != nil {
			return nil, err
		}
		if _, exists := site.Services[service.Name]; exists {
			return nil, &ConvertError{Service: service.Name, Problem: "listed twice"}
		}
		site.Services[service.Name] = service
	}
	return site, nil
}

// ServiceToProto encodes one service.
func ServiceToProto(service *Service) *bspb.ServiceConfig {
	message := &bspb.ServiceConfig{
		Name:                   string(service.Name),
		Keyed:                  service.Keyed,
		Shards:                 service.Shards,
		ConcurrencyPerServer:   uint32(service.ConcurrencyPerServer),
		ConnectionsPerServer:   uint32(service.ConnectionsPerServer),
		ChecksFencing:          service.ChecksFencing,
		DeadlineMs:             uint64(service.Deadline.Milliseconds()),
		MaxDisconnectedMs:      DurationToMillis(service.MaxDisconnected),
		Weighting:              bspb.Weighting(service.Weighting),
		MaxBodyBytes:           uint64(service.MaxBodyBytes),
		AcceptUnfencedTakeover: service.AcceptUnfencedTakeover,
		RequireIdempotencyKey:  service.RequireIdempotencyKey,
	}
	for _, name := range service.DependsOn {
		message.DependsOn = append(message.DependsOn, string(name))
	}
	for method, idempotent := range service.IdempotentMethods {
		if idempotent {
			message.IdempotentMethods = append(message.IdempotentMethods, method)
		}
	}
	sort.Strings(message.IdempotentMethods)
	return message
}

// ServiceFromProto decodes one service; it fails with a *ConvertError.
func ServiceFromProto(message *bspb.ServiceConfig) (*Service, error) {
	name := topo.Service(message.GetName())
	if name == "" {
		return nil, &ConvertError{Problem: "service without a name"}
	}
	if message.GetKeyed() && message.GetShards() == 0 {
		return nil, &ConvertError{Service: name, Problem: "keyed service without shards"}
	}
	service := &Service{
		Name:                   name,
		Keyed:                  message.GetKeyed(),
		Shards:                 message.GetShards(),
		ConcurrencyPerServer:   int(message.GetConcurrencyPerServer()),
		ConnectionsPerServer:   int(message.GetConnectionsPerServer()),
		ChecksFencing:          message.GetChecksFencing(),
		IdempotentMethods:      make(map[string]bool, len(message.GetIdempotentMethods())),
		Deadline:               time.Duration(message.GetDeadlineMs()) * time.Millisecond,
		MaxDisconnected:        MillisToDuration(message.GetMaxDisconnectedMs()),
		Weighting:              Weighting(message.GetWeighting()),
		MaxBodyBytes:           int64(message.GetMaxBodyBytes()),
		AcceptUnfencedTakeover: message.GetAcceptUnfencedTakeover(),
		RequireIdempotencyKey:  message.GetRequireIdempotencyKey(),
	}
	for _, dependency := range message.GetDependsOn() {
		service.DependsOn = append(service.DependsOn, topo.Service(dependency))
	}
	for _, method := range message.GetIdempotentMethods() {
		service.IdempotentMethods[method] = true
	}
	return service, nil
}

// DurationToMillis encodes a MaxDisconnected in milliseconds; Forever is -1.
func DurationToMillis(limit time.Duration) int64 {
	if limit == Forever {
		return foreverMillis
	}
	return limit.Milliseconds()
}

// MillisToDuration decodes a MaxDisconnected; every negative number decodes as
// Forever.
func MillisToDuration(millis int64) time.Duration {
	if millis < 0 {
		return Forever
	}
	return time.Duration(millis) * time.Millisecond
}

// LongerDisconnected returns the longer of two MaxDisconnected values.
func LongerDisconnected(a, b time.Duration) time.Duration {
	if a == Forever || b == Forever {
		return Forever
	}
	return max(a, b)
}

func sortedServices(services map[topo.Service]*Service) []topo.Service {
	names := make([]topo.Service, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
