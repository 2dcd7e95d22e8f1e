package histcheck

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	generatedService topo.Service = "licensing"
	generatedShards  uint32       = 2
)

// generator builds valid histories: each shard has one owner at a time, each request
// runs once, and each answer belongs to its request.
type generator struct {
	t        *rapid.T
	now      history.Time
	offset   topo.Offset
	requests int
	owners   [generatedShards]history.OwnerInterval
	values   map[string]uint64
	events   []history.Event
}

// cleanHistory draws a history without violations.
func cleanHistory(t *rapid.T) []history.Event {
	g := &generator{t: t, values: map[string]uint64{}}
	for shard := range generatedShards {
		g.assign(shard)
	}
	for range rapid.IntRange(3, 40).Draw(t, "steps") {
		g.step()
	}
	for shard := range g.owners {
		g.endOwnership(uint32(shard))
	}
	history.SortEvents(g.events)
	return g.events
}

func (g *generator) step() {
	shard := rapid.Uint32Range(0, generatedShards-1).Draw(g.t, "shard")
	if rapid.IntRange(0, 4).Draw(g.t, "action") == 0 {
		g.endOwnership(shard)
		g.assign(shard)
		return
	}
	g.request(shard)
}

func (g *generator) tick() history.Time {
	g.now += history.Time(rapid.IntRange(1, 5).Draw(g.t, "wait"))
	return g.now
}

func (g *generator) endOwnership(shard uint32) {
	interval := g.owners[shard]
	interval.Until = g.tick()
	g.events = append(g.events, interval)
}

func (g *generator) assign(shard uint32) {
	g.offset++
	id := topo.ShardID{Service: generatedService, Index: shard}
	server := topo.ServerID(rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(g.t, "server"))
	at := g.tick()
	g.events = append(g.events, history.AssignmentKnown{
		At: at, Node: "n1", Shard: id, Fence: topo.MakeFence(g.offset, 0), Owner: server, Acknowledged: true,
	})
	g.owners[shard] = history.OwnerInterval{
		Server: server, Boot: "b1", Shard: id, Fence: topo.MakeFence(g.offset, 0), From: at,
	}
}

// request sends one request, which is answered, refused, or left with an unknown
// outcome, either with or without a run.
func (g *generator) request(shard uint32) {
	g.requests++
	name := fmt.Sprintf("c/%d", g.requests)
	key := fmt.Sprintf("k%d-%d", shard, rapid.IntRange(0, 1).Draw(g.t, "key"))
	method, ticket := "GET", ""
	if rapid.Bool().Draw(g.t, "write") {
		method, ticket = "POST", "t-"+name
	}
	g.events = append(g.events, history.CallerSent{
		At: g.tick(), Caller: "c", CallerRequest: name, Attempt: 1, Service: generatedService,
		Key: key, Method: method, Ticket: ticket, BodyDigest: "d-" + name,
	})
	answer := history.CallerAnswered{Caller: "c", CallerRequest: name, Attempt: 1}
	switch rapid.IntRange(0, 5).Draw(g.t, "fate") {
	case 0:
		answer.Outcome = serverapi.OutcomeNotRun
	case 1:
		answer.Outcome = serverapi.OutcomeUnknown
	case 2:
		g.run(shard, name, key, method, ticket)
		answer.Outcome = serverapi.OutcomeUnknown
	default:
		ended := g.run(shard, name, key, method, ticket)
		answer.Outcome = serverapi.OutcomeAnswered
		answer.Status = 200
		answer.Whole = true
		answer.EchoCallerRequest = name
		answer.EchoKey = key
		answer.EchoBodyDigest = "d-" + name
		answer.EchoRequestID = ended.RequestID
		answer.EchoValue = ended.Value
	}
	answer.At = g.tick()
	g.events = append(g.events, answer)
}

func (g *generator) run(shard uint32, name, key, method, ticket string) history.RunEnded {
	owner := g.owners[shard]
	counter := key + "@" + owner.Fence.String()
	if method == "POST" {
		g.values[counter]++
	}
	g.events = append(g.events, history.RunBegan{
		At: g.tick(), Server: owner.Server, Boot: owner.Boot, RequestID: "r-" + name, CallerRequest: name,
		Service: generatedService, Shard: owner.Shard, Fence: owner.Fence, Key: key, Method: method, Ticket: ticket,
	})
	ended := history.RunEnded{
		At: g.tick(), Server: owner.Server, Boot: owner.Boot, RequestID: "r-" + name,
		Committed: true, Value: g.values[counter], BodyDigest: "d-" + name,
	}
	g.events = append(g.events, ended)
	return ended
}
