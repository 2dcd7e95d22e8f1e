package state

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const modelShards = 3

// machine applies mostly valid records to a State and checks the invariants
// after each record.
type machine struct {
	log          *log
	replica      *State            // applies the same records, occasionally restored from a snapshot
	appended     []*bspb.Record    // for repeated appends
	fences       map[string]string // last fence observed in force, by service and key
	ended        map[string]bool   // key and fence that were in force and ended
	version      uint64
	heldView     *View // a view taken earlier
	heldSnapshot string
}

var (
	modelServices = []string{"s0", "s1"}
	modelServers  = []string{"", "v0", "v1", "v2", "v3"}
	modelNodes    = []string{"n0", "n1", "n2"}
	modelGroups   = []string{"z/0", "z/1"}
)

func pick(t *rapid.T, label string, from []string) string {
	return rapid.SampledFrom(from).Draw(t, label)
}

// step applies a record to the state and its replica, which must agree.
func (m *machine) step(t *rapid.T, writer string, rec *bspb.Record) {
	before := m.log.state.View()
	result := m.log.add(writer, rec)
	m.appended = append(m.appended, rec)
	m.checkFencesAndTerms(t, before, rec, result)
	m.mirror(t, rec, result)
}

func (m *machine) mirror(t *rapid.T, rec *bspb.Record, want Result) {
	got := m.replica.Apply(m.replica.Applied()+1, rec)
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("replica: %v, state: %v", got, want)
	}
}

// checkFencesAndTerms checks that shards with an owner were changed only
// by the lessor of the owner's group, at most once in each record.
func (m *machine) checkFencesAndTerms(t *rapid.T, before *View, rec *bspb.Record, result Result) {
	body := rec.GetAssignShards()
	if body == nil {
		m.checkKept(t, before)
		return
	}
	rejected := map[int]bool{}
	for _, index := range result.RejectedIndexes() {
		rejected[index] = true
	}
	changed := map[topo.ShardID]bool{}
	for index, assignment := range body.GetAssignments() {
		id := shardFromProto(assignment.GetShard())
		if rejected[index] {
			continue
		}
		if changed[id] {
			t.Fatalf("%v changed twice in a record", id)
		}
		changed[id] = true
		m.checkChange(t, before, body, assignment)
	}
}

func (m *machine) checkChange(t *rapid.T, before *View, body *bspb.AssignShards, assignment *bspb.Assignment) {
	id := shardFromProto(assignment.GetShard())
	old, _ := before.Shard(id)
	if id.Key != "" {
		old, _ = before.Lookup(id.Service, id.Key)
	}
	if old.Owner == "" {
		return
	}
	owner, _ := before.Server(old.Owner)
	group, _ := before.Group(owner.Group)
	if group.Term != termFromProto(body.GetTerm()) {
		t.Fatalf("%v changed under term %v, in force %v", id, body.GetTerm(), group.Term)
	}
	if now, _ := m.log.state.View().Lookup(id.Service, id.Key); assignment.GetMerge() && now.Owner != old.Owner {
		t.Fatalf("merge of %v changed the owner from %s to %s", id, old.Owner, now.Owner)
	}
}

// checkKept checks that a record other than AssignShards changed no owner.
func (m *machine) checkKept(t *rapid.T, before *View) {
	after := m.log.state.View()
	for _, service := range before.Tables() {
		before.EachShard(service, func(old Assignment) bool {
			if now, _ := after.Shard(old.Shard); old.Owner != "" && now != old {
				t.Fatalf("%v became %v", old, now)
			}
			return true
		})
	}
}

func (m *machine) publish(t *rapid.T) {
	var services []*bspb.ServiceConfig
	for _, name := range modelServices {
		if rapid.IntRange(0, 3).Draw(t, "listed") > 0 {
			count := uint32(rapid.IntRange(modelShards, modelShards+1).Draw(t, "shards")/(modelShards+1) + modelShards)
			services = append(services, keyed(name, count, rapid.Int64Range(-1, 3).Draw(t, "limit")))
		}
	}
	stale := rapid.Uint64Range(0, 1).Draw(t, "stale")
	base := m.log.state.View().SiteVersion()
	m.step(t, "op", publish(base-min(stale, base), services...))
}

func (m *machine) members(t *rapid.T) {
	node := pick(t, "node", modelNodes)
	boot := pick(t, "boot", []string{"b1", "b2"})
	switch rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		m.step(t, node+"@"+boot, joinNode(node, boot))
	case 1:
		m.step(t, "op", removeNode(node, boot))
	default:
		m.step(t, "op", confirmLoss([]string{pick(t, "server", modelServers)}, []string{node}))
	}
}

func (m *machine) servers(t *rapid.T) {
	id := pick(t, "server", modelServers[1:])
	if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
		m.step(t, "vms", update(nil, id))
		return
	}
	phase := Phase(rapid.IntRange(int(PhaseLive), int(PhaseGone)).Draw(t, "phase"))
	if rapid.Bool().Draw(t, "live") {
		phase = PhaseLive
	}
	entry := server(id, pick(t, "service", modelServices), pick(t, "group", modelGroups), phase)
	m.step(t, "vms", update([]*bspb.ServerEntry{entry}))
}

func (m *machine) claim(t *rapid.T) {
	id := pick(t, "group", modelGroups)
	group, _ := m.log.state.View().Group(topo.GroupID(id))
	expected := group.Term
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		expected = topo.MakeTerm(1, 0)
	}
	body := claim(id, expected, pick(t, "node", modelNodes), pick(t, "standby", append([]string{""}, modelNodes...)))
	if rapid.Bool().Draw(t, "continued") {
		body.Continued = ordinalToProto(group.Term.Standby().Ordinal)
	}
	body.Settled = rapid.IntRange(0, 3).Draw(t, "settled") == 0
	m.step(t, body.GetNode()+"@b1", claimRecord(body))
}

// assign changes one or two shards, mostly with the fences and terms in force.
func (m *machine) assign(t *rapid.T) {
	view := m.log.state.View()
	group := pick(t, "group", modelGroups)
	var assignments []*bspb.Assignment
	for range rapid.IntRange(1, 2).Draw(t, "count") {
		id := topo.ShardID{
			Service: topo.Service(pick(t, "service", modelServices)),
			Index:   uint32(rapid.IntRange(0, modelShards-1).Draw(t, "index")),
		}
		if rapid.Bool().Draw(t, "split") {
			id.Key = keyIn(id.Index, modelShards, rapid.IntRange(0, 1).Draw(t, "key"))
		}
		current, _ := view.Shard(id)
		if id.Key != "" {
			current, _ = view.Lookup(id.Service, id.Key)
		}
		if owner, exists := view.Server(current.Owner); exists && rapid.IntRange(0, 5).Draw(t, "right") > 0 {
			group = string(owner.Group)
		}
		fence := current.Fence
		if rapid.IntRange(0, 6).Draw(t, "stale") == 0 {
			fence = topo.MakeFence(view.Applied()+1, 0)
		}
		body := newAssignment(id, fence, m.someServer(t, id.Service), m.someServer(t, id.Service))
		body.Merge = id.Key != "" && rapid.Bool().Draw(t, "merge")
		assignments = append(assignments, body)
	}
	inForce, _ := view.Group(topo.GroupID(group))
	term := inForce.Term
	if rapid.IntRange(0, 6).Draw(t, "stale term") == 0 {
		term = topo.MakeTerm(term.Offset-1, 0)
	}
	m.step(t, "n0@b1", assign(group, term, assignments...))
}

// someServer returns the name of a server, mostly one of the service.
func (m *machine) someServer(t *rapid.T, service topo.Service) string {
	var fit []string
	for _, id := range modelServers[1:] {
		known, exists := m.log.state.View().Server(topo.ServerID(id))
		if exists && known.Service == service && known.Phase == PhaseLive {
			fit = append(fit, id)
		}
	}
	if len(fit) == 0 || rapid.IntRange(0, 5).Draw(t, "any") == 0 {
		return pick(t, "server", modelServers)
	}
	return pick(t, "fit", fit)
}

// createSite creates a site with all servers live and all groups claimed.
func (m *machine) createSite(t *rapid.T) {
	m.step(t, "op", publish(0, keyed("s0", modelShards, 0), keyed("s1", modelShards, 0)))
	for i, id := range modelServers[1:] {
		entry := server(id, modelServices[i/3], modelGroups[i%2], PhaseLive)
		m.step(t, "vms", update([]*bspb.ServerEntry{entry}))
	}
	for _, id := range modelGroups {
		m.step(t, "n0@b1", claimRecord(claim(id, topo.Term{}, "n0", "n1")))
	}
}

// repeat applies a record again; only the offset may change.
func (m *machine) repeat(t *rapid.T) {
	if len(m.appended) == 0 {
		t.Skip("nothing to repeat")
	}
	rec := rapid.SampledFrom(m.appended).Draw(t, "record")
	before := m.log.state.Snapshot()
	result := m.log.state.Apply(m.log.state.Applied()+1, rec)
	if result.Accepted || result.Conflict.Reason != ReasonDuplicate {
		t.Fatalf("repeat took effect: %v", result)
	}
	m.mirror(t, rec, result)
	after := m.log.state.Snapshot()
	before.Applied = after.Applied
	if !proto.Equal(before, after) {
		t.Fatalf("repeat changed the state:\n%v\n%v", before, after)
	}
}

// restore replaces the replica by a state restored from its own snapshot.
func (m *machine) restore(t *rapid.T) {
	restored, err := Restore(m.replica.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	m.replica = restored
}

// hold keeps a view, which must not change afterwards.
func (m *machine) hold(*rapid.T) {
	m.heldView = m.log.state.View()
	m.heldSnapshot = encoded(Frozen{view: m.heldView})
}

// check verifies the invariants after every step.
func (m *machine) check(t *rapid.T) {
	view := m.log.state.View()
	if view.SiteVersion() < m.version {
		t.Fatalf("site version went from %d to %d", m.version, view.SiteVersion())
	}
	m.version = view.SiteVersion()
	if encoded(m.log.state.Freeze()) != encoded(m.replica.Freeze()) {
		t.Fatalf("replica differs:\n%v\n%v", m.log.state.Snapshot(), m.replica.Snapshot())
	}
	if m.heldView != nil && encoded(Frozen{view: m.heldView}) != m.heldSnapshot {
		t.Fatal("a view changed")
	}
	m.checkFences(t, view)
	m.checkServers(t, view)
	checkServerShards(t, view)
	checkServerShards(t, m.replica.View())
}

// checkFences checks for sample keys that an ended fence never comes into
// force again and that the fence in force increases.
func (m *machine) checkFences(t *rapid.T, view *View) {
	for _, service := range modelServices {
		for index := range uint32(modelShards) {
			for n := range 2 {
				key := keyIn(index, modelShards, n)
				a, _ := view.Lookup(topo.Service(service), key)
				m.checkFence(t, service+"/"+key, a)
			}
		}
	}
}

func (m *machine) checkFence(t *rapid.T, key string, a Assignment) {
	if (a.Owner == "") != a.Fence.IsZero() {
		t.Fatalf("%s: owner %q with fence %v", key, a.Owner, a.Fence)
	}
	now := a.Fence.String()
	last := m.fences[key]
	if now == last {
		return
	}
	m.ended[key+" "+last] = true
	m.fences[key] = now
	if !a.Fence.IsZero() && m.ended[key+" "+now] {
		t.Fatalf("%s: fence %s is in force again", key, now)
	}
	if before, err := topo.ParseFence(last); err == nil && !a.Fence.IsZero() && !before.Less(a.Fence) {
		t.Fatalf("%s: fence went from %s to %s", key, last, now)
	}
}

// checkServers checks that every owner and standby is known and that the
// reference counts match the tables.
func (m *machine) checkServers(t *rapid.T, view *View) {
	references := map[topo.ServerID]int{}
	for _, service := range view.Tables() {
		owned := 0
		view.EachShard(service, func(a Assignment) bool {
			references[a.Owner]++
			references[a.Standby]++
			owned += ownedCount(a)
			return true
		})
		if owned != view.tables[service].owned {
			t.Fatalf("%s: counted %d owned, table says %d", service, owned, view.tables[service].owned)
		}
	}
	delete(references, "")
	for id, want := range references {
		if known, exists := m.log.state.serverRecords[id]; !exists || known.references != want {
			t.Fatalf("server %s: %d references, known as %+v", id, want, known)
		}
	}
	for id, known := range m.log.state.serverRecords {
		if known.references != references[id] {
			t.Fatalf("server %s: %d references, known as %+v", id, references[id], known)
		}
	}
}

func TestApplyStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			log: newLog(), replica: New(),
			fences: map[string]string{}, ended: map[string]bool{},
		}
		m.createSite(t)
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.publish, "members": m.members, "servers": m.servers,
			"claim": m.claim, "assign": m.assign, "assign 2": m.assign, "assign 3": m.assign, "assign 4": m.assign,
			"repeat": m.repeat, "restore": m.restore, "hold": m.hold,
			"": m.check,
		})
	})
}
