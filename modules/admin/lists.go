package admin

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

func sortedKeys[K cmp.Ordered, V any](all map[K]V) []K {
	keys := make([]K, 0, len(all))
	for key := range all {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

var phaseNames = map[state.Phase]string{
	state.PhaseLive:     "live",
	state.PhaseDraining: "draining",
	state.PhaseGone:     "gone",
}

func (a *api) getServers(w http.ResponseWriter, _ *http.Request) {
	view := a.source.View()
	owns, standby := countShards(view)
	servers := make([]adminapi.Server, 0, len(view.Servers()))
	for _, id := range sortedKeys(view.Servers()) {
		server, _ := view.Server(id)
		servers = append(servers, adminapi.Server{
			ID:      id,
			Service: server.Service,
			Zone:    server.Zone,
			Address: server.Address,
			Group:   server.Group,
			Phase:   phaseNames[server.Phase],
			Lost:    view.ServerLost(id),
			Owns:    owns[id],
			Standby: standby[id],
		})
	}
	writeJSON(w, http.StatusOK, servers)
}

// countShards counts the shards of each server as owner and as standby.
func countShards(view *state.View) (owns, standby map[topo.ServerID]int) {
	owns, standby = map[topo.ServerID]int{}, map[topo.ServerID]int{}
	for _, service := range view.Tables() {
		view.EachShard(service, func(shard state.Assignment) bool {
			if !shard.Fence.IsZero() {
				owns[shard.Owner]++
				standby[shard.Standby]++
			}
			return true
		})
	}
	return owns, standby
}

func (a *api) getGroups(w http.ResponseWriter, _ *http.Request) {
	view := a.source.View()
	groups := make([]adminapi.Group, 0, len(view.Groups()))
	for _, id := range sortedKeys(view.Groups()) {
		group, _ := view.Group(id)
		groups = append(groups, adminapi.Group{
			ID:          id,
			Term:        group.Term.String(),
			Lessor:      group.Lessor,
			LessorBoot:  group.LessorBoot,
			Standby:     group.Standby,
			StandbyBoot: group.StandbyBoot,
		})
	}
	writeJSON(w, http.StatusOK, groups)
}

func (a *api) getNodes(w http.ResponseWriter, _ *http.Request) {
	view := a.source.View()
	nodes := make([]adminapi.Node, 0, len(view.Nodes()))
	for _, id := range sortedKeys(view.Nodes()) {
		node, _ := view.Node(id)
		nodes = append(nodes, adminapi.Node{
			ID:          id,
			Boot:        node.Boot,
			Zone:        node.Zone,
			Region:      node.Region,
			PeerAddress: node.PeerAddress,
			Lost:        view.NodeLost(id),
		})
	}
	writeJSON(w, http.StatusOK, nodes)
}

func (a *api) getShards(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	view := a.source.View()
	service := topo.Service(query.Get(adminapi.QueryService))
	if !slices.Contains(view.Tables(), service) {
		writeFailure(w, http.StatusNotFound, adminapi.CodeNotFound, "no keyed service is called "+strconv.Quote(string(service)))
		return
	}
	if key := query.Get(adminapi.QueryKey); key != "" {
		shard, _ := view.Lookup(service, key)
		writeJSON(w, http.StatusOK, adminapi.Shards{Shards: []adminapi.Shard{describeShard(shard)}, Total: 1})
		return
	}
	from, err := parseCount(query.Get(adminapi.QueryFrom), 0)
	if err != nil {
		writeError(w, err)
		return
	}
	limit, err := parseCount(query.Get(adminapi.QueryMax), adminapi.MaxShardsListed)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, listShards(view, service, from, limit))
}

// parseCount parses a query parameter that is a count, with a default if it is
// empty.
func parseCount(text string, defaultCount int) (int, error) {
	if text == "" {
		return defaultCount, nil
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 {
		return 0, newFailure(http.StatusBadRequest, adminapi.Failure{Code: adminapi.CodeMalformed, Message: "not a count: " + strconv.Quote(text)})
	}
	return count, nil
}

// listShards returns at most `most` shards from position from: hash ranges
// ordered by index, then split keys ordered by key.
func listShards(view *state.View, service topo.Service, from, limit int) adminapi.Shards {
	var all []state.Assignment
	view.EachShard(service, func(shard state.Assignment) bool {
		all = append(all, shard)
		return true
	})
	ranges := min(int(view.ShardCount(service)), len(all))
	slices.SortFunc(all[ranges:], func(a, b state.Assignment) int { return cmp.Compare(a.Shard.Key, b.Shard.Key) })
	from = min(from, len(all))
	end := min(from+min(limit, adminapi.MaxShardsListed), len(all))
	part := adminapi.Shards{Shards: make([]adminapi.Shard, 0, end-from), Total: len(all)}
	for _, shard := range all[from:end] {
		part.Shards = append(part.Shards, describeShard(shard))
	}
	if end < len(all) {
		part.Next = end
	}
	return part
}

func describeShard(shard state.Assignment) adminapi.Shard {
	described := adminapi.Shard{Shard: shard.Shard.String(), Owner: shard.Owner, OwnerBoot: shard.OwnerBoot, Standby: shard.Standby}
	if !shard.Fence.IsZero() {
		described.Fence = shard.Fence.String()
	}
	return described
}
