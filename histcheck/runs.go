package histcheck

import (
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/topo"
)

// run is one execution of a request by a server. A run without an end was interrupted
// when its server stopped, or had not ended when the history ended.
type run struct {
	began history.RunBegan
	ended history.RunEnded
	over  bool
}

// committed reports whether the run ended while its server was still the owner.
func (r run) committed() bool { return r.over && r.ended.Committed }

// runKey identifies a run: attempts have unique request IDs, but a faulty
// system may run one attempt twice, even at one server.
type runKey struct {
	server  topo.ServerID
	boot    topo.BootID
	request string
}

// collectRuns joins the start and end events of runs, in order of their start. Two
// runs of one request at one server are joined in order.
func collectRuns(events []history.Event) []run {
	var runs []run
	open := map[runKey][]int{}
	for _, event := range events {
		switch e := event.(type) {
		case history.RunBegan:
			name := runKey{e.Server, e.Boot, e.RequestID}
			open[name] = append(open[name], len(runs))
			runs = append(runs, run{began: e})
		case history.RunEnded:
			name := runKey{e.Server, e.Boot, e.RequestID}
			if len(open[name]) == 0 {
				continue
			}
			i := open[name][0]
			open[name] = open[name][1:]
			runs[i].ended, runs[i].over = e, true
		}
	}
	return runs
}

// serviceKey is one key of one service.
type serviceKey struct {
	service topo.Service
	key     string
}

// String renders the key as "service/key".
func (k serviceKey) String() string { return string(k.service) + "/" + k.key }

// runsByKey groups the runs of services divided by key, in order of their start.
func runsByKey(runs []run) map[serviceKey][]run {
	byKey := map[serviceKey][]run{}
	for _, r := range runs {
		if r.began.Shard == (topo.ShardID{}) {
			continue
		}
		key := serviceKey{r.began.Service, r.began.Key}
		byKey[key] = append(byKey[key], r)
	}
	return byKey
}
