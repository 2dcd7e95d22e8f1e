package model

import (
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Names of the presets.
const (
	Kavango = "kavango"
	Urbion  = "urbion"
)

// The sizes, zones, limits and delays are those of the two deployments. Busy
// times, numbers of keys, skew and utilization are assumptions and equal for
// every policy.
const (
	archiveKeys = 20_000
	quoteKeys   = 30_000
	// shardsPerTarget is the number of hash ranges per server of a
	// keyed service, high enough that one range is small compared to a server's load.
	shardsPerTarget = 16
)

// Preset returns a deployment by name; false if there is none.
func Preset(name string) (*Deployment, bool) {
	switch name {
	case Kavango:
		return kavango(), true
	case Urbion:
		return urbion(), true
	}
	return nil, false
}

// kavango has its zones in Windhoek and prioritizes availability.
func kavango() *Deployment {
	const concurrency, connections = 4, 100
	return &Deployment{
		Name:          Kavango,
		Zones:         []topo.Zone{"windhoek-a", "windhoek-b", "windhoek-c"},
		EntryPerZone:  3,
		CallerDelay:   time.Millisecond,
		ZoneDelay:     1500 * time.Microsecond,
		LocalDelay:    200 * time.Microsecond,
		NewConnection: time.Millisecond,
		ProbeCost:     6 * time.Millisecond,
		Services: []Service{
			{
				Name: "well-logs", Targets: 8, Concurrency: concurrency, Connections: connections,
				Weighting: siteconfig.WeightUnavailability, Deadline: time.Second,
				MeanBusy: 20 * time.Millisecond, Variation: 0.7, Utilization: 0.55,
				Keys: archiveKeys, Skew: 1, Callers: 20, Idempotent: 1,
			},
			{
				Name: "licensing", Targets: 6, Concurrency: concurrency, Connections: connections,
				Weighting: siteconfig.WeightUnavailability, Deadline: 2 * time.Second,
				DependsOn: []Dependency{{Service: "well-logs", Share: 0.3}},
				MeanBusy:  40 * time.Millisecond, Variation: 0.7, Utilization: 0.5,
				Keys: archiveKeys, Skew: 1, Callers: 10, Idempotent: 0.3,
			},
			{
				Name: "profile-archive", Keyed: true, Shards: 10 * shardsPerTarget,
				Targets: 10, Concurrency: concurrency, Connections: connections,
				Weighting: siteconfig.WeightUnavailability, Deadline: 2 * time.Second,
				DependsOn: []Dependency{{Service: "well-logs", Share: 0.1}},
				MeanBusy:  50 * time.Millisecond, Variation: 0.7, Utilization: 0.5,
				Keys: archiveKeys, Skew: 1, Callers: 20, Idempotent: 0.9,
			},
		},
	}
}

// urbion has its zones in Soria and prioritizes even load.
func urbion() *Deployment {
	const concurrency, connections = 6, 130
	return &Deployment{
		Name:          Urbion,
		Zones:         []topo.Zone{"soria-a", "soria-b", "soria-c"},
		EntryPerZone:  3,
		CallerDelay:   3 * time.Millisecond,
		ZoneDelay:     time.Millisecond,
		LocalDelay:    200 * time.Microsecond,
		NewConnection: time.Millisecond,
		ProbeCost:     2 * time.Millisecond,
		Services: []Service{
			{
				Name: "quotes", Keyed: true, Shards: 15 * shardsPerTarget,
				Targets: 15, Concurrency: concurrency, Connections: connections,
				Weighting: siteconfig.WeightImbalance, Deadline: time.Second,
				DependsOn: []Dependency{{Service: "cut-lists", Share: 0.05}},
				MeanBusy:  25 * time.Millisecond, Variation: 0.7, Utilization: 0.5,
				Keys: quoteKeys, Skew: 1, Callers: 30, Idempotent: 0.9,
			},
			{
				Name: "payments", Targets: 10, Concurrency: concurrency, Connections: connections,
				Weighting: siteconfig.WeightImbalance, Deadline: 3 * time.Second,
				DependsOn: []Dependency{{Service: "quotes", Share: 0.2}},
				MeanBusy:  60 * time.Millisecond, Variation: 0.7, Utilization: 0.5,
				Keys: quoteKeys, Skew: 1, Callers: 10, Idempotent: 0.2,
			},
			{
				Name: "cut-lists", Targets: 12, Concurrency: concurrency, Connections: connections,
				Weighting: siteconfig.WeightImbalance, Deadline: 2 * time.Second,
				MeanBusy: 40 * time.Millisecond, Variation: 0.7, Utilization: 0.5,
				Keys: quoteKeys, Skew: 1, Callers: 10, Idempotent: 1,
			},
		},
	}
}
