package state

import (
	"fmt"
	"testing"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const benchShards = 100_000

// benchState has benchShards owned shards on 1,000 servers in 10 groups.
func benchState(b *testing.B) (*log, topo.Term) {
	b.Helper()
	l := newLog()
	l.add("op", publish(0, keyed("wells", benchShards, 0)))
	for i := range 1000 {
		entry := server(fmt.Sprintf("server-%04d", i), "wells", fmt.Sprintf("zone-a/%d", i%10), PhaseLive)
		l.add("vms", update([]*bspb.ServerEntry{entry}))
	}
	for i := range 10 {
		l.add("n1@b1", claimRecord(claim(fmt.Sprintf("zone-a/%d", i), topo.Term{}, "n1", "n2")))
	}
	for i := range uint32(benchShards) {
		owner := fmt.Sprintf("server-%04d", i%1000)
		standby := fmt.Sprintf("server-%04d", (i+10)%1000)
		if !l.add("n1@b1", assign("", topo.Term{}, newAssignment(shard(i), topo.Fence{}, owner, standby))).Accepted {
			b.Fatal("not accepted")
		}
	}
	group, _ := l.state.View().Group("zone-a/0")
	return l, group.Term
}

// move moves shard 0 from one of two servers of group 0 to the other.
func move(l *log, term topo.Term, n int) Result {
	a, _ := l.state.View().Shard(shard(0))
	owner := fmt.Sprintf("server-%04d", 10*(n%2))
	return l.add("n1@b1", assign("zone-a/0", term, newAssignment(shard(0), a.Fence, owner, "")))
}

func BenchmarkApplyAssign(b *testing.B) {
	l, _ := benchState(b)
	a, _ := l.state.View().Shard(shard(0))
	next := a.Fence
	group, _ := l.state.View().Group("zone-a/0")
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		owner := fmt.Sprintf("server-%04d", 10*(n%2))
		n++
		result := l.add("n1@b1", assign("zone-a/0", group.Term, newAssignment(shard(0), next, owner, "")))
		next = topo.MakeFence(result.Offset, 0)
	}
}

func BenchmarkApplyAssignAndView(b *testing.B) {
	l, term := benchState(b)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		if !move(l, term, n).Accepted {
			b.Fatal("not accepted")
		}
		l.state.View()
	}
}

func BenchmarkSnapshot(b *testing.B) {
	l, _ := benchState(b)
	frozen := l.state.Freeze()
	b.ReportAllocs()
	for b.Loop() {
		frozen.Snapshot()
	}
}

func BenchmarkRestore(b *testing.B) {
	l, _ := benchState(b)
	snapshot := l.state.Snapshot()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Restore(snapshot); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	l, _ := benchState(b)
	view := l.state.View()
	b.ReportAllocs()
	for b.Loop() {
		view.Lookup(wells, "borehole-1234")
	}
}
