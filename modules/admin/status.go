package admin

import (
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

func (a *api) getStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.status(time.Now()))
}

func (a *api) getDump(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.dump())
}

func (a *api) status(now time.Time) adminapi.Status {
	view := a.source.View()
	status := adminapi.Status{
		Node:            a.identity.Node,
		Boot:            a.identity.Boot,
		Zone:            a.identity.Zone,
		Region:          a.identity.Region,
		UptimeMs:        now.Sub(a.started).Milliseconds(),
		Applied:         view.Applied(),
		LogContactAgeMs: contactAge(a.contact.LastContact(), clock.Now()),
		SiteVersion:     view.SiteVersion(),
		Services:        []topo.Service{},
		Nodes:           len(view.Nodes()),
		Servers:         countServers(view),
		Groups:          len(view.Groups()),
		Leads:           []topo.GroupID{},
		StandbyFor:      []topo.GroupID{},
		Unowned:         countUnowned(view),
		Draining:        a.draining.Load(),
		Lineage:         view.Lineage(),
	}
	if site := view.Site(); site != nil {
		status.Services = site.StartOrder()
	}
	status.Retiring = sortedKeys(view.Retiring())
	a.addRoles(&status, view)
	return status
}

// addRoles lists the groups of which this incarnation of the node is the lessor or
// the standby.
func (a *api) addRoles(status *adminapi.Status, view *state.View) {
	for _, id := range sortedKeys(view.Groups()) {
		group, _ := view.Group(id)
		if group.Lessor == a.identity.Node && group.LessorBoot == a.identity.Boot {
			status.Leads = append(status.Leads, id)
		}
		if group.Standby == a.identity.Node && group.StandbyBoot == a.identity.Boot {
			status.StandbyFor = append(status.StandbyFor, id)
		}
	}
}

// contactAge returns the milliseconds since the last contact, or -1 if there was
// none.
func contactAge(last, now time.Time) int64 {
	if last.IsZero() {
		return -1
	}
	return now.Sub(last).Milliseconds()
}

func countServers(view *state.View) adminapi.ServerCounts {
	var counts adminapi.ServerCounts
	for id, server := range view.Servers() {
		switch server.Phase {
		case state.PhaseLive:
			counts.Live++
		case state.PhaseDraining:
			counts.Draining++
		case state.PhaseGone:
			counts.Gone++
		}
		if view.ServerLost(id) {
			counts.Lost++
		}
	}
	return counts
}

// countUnowned counts the hash ranges without an owner of each keyed service. It
// omits services without any.
func countUnowned(view *state.View) map[string]int {
	unowned := map[string]int{}
	for _, service := range view.Tables() {
		count := 0
		view.EachShard(service, func(shard state.Assignment) bool {
			if shard.Fence.IsZero() {
				count++
			}
			return true
		})
		if count > 0 {
			unowned[string(service)] = count
		}
	}
	return unowned
}
