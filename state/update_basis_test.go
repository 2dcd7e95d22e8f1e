package state

import (
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func updateFrom(basis topo.Offset, upsert []*bspb.ServerEntry, remove ...string) *bspb.Record {
	rec := update(upsert, remove...)
	rec.GetUpdateServers().Basis = uint64(basis)
	return rec
}

// TestServersChangedSinceTheBasisAreKept writes late a record that the
// writer decided on an old state.
func TestServersChangedSinceTheBasisAreKept(t *testing.T) {
	late := server("s1", "logs", "g", PhaseLive)
	cases := []struct {
		name     string
		record   func(seen topo.Offset) *bspb.Record
		accepted bool
		phase    Phase
	}{
		{"late insertion", func(seen topo.Offset) *bspb.Record {
			return updateFrom(seen, []*bspb.ServerEntry{late})
		}, false, PhaseDraining},
		{"late removal", func(seen topo.Offset) *bspb.Record { return updateFrom(seen, nil, "s1") }, false, PhaseDraining},
		{"in time", func(seen topo.Offset) *bspb.Record {
			return updateFrom(seen+1, []*bspb.ServerEntry{late})
		}, true, PhaseLive},
		{"without a basis", func(topo.Offset) *bspb.Record {
			return update([]*bspb.ServerEntry{late})
		}, true, PhaseLive},
		{"one of two is late", func(seen topo.Offset) *bspb.Record {
			return updateFrom(seen, []*bspb.ServerEntry{late, server("s2", "logs", "g", PhaseLive)})
		}, true, PhaseDraining},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := newLog()
			l.add("op", update([]*bspb.ServerEntry{server("s1", "logs", "g", PhaseLive)}))
			seen := l.state.Applied()
			l.add("op", update([]*bspb.ServerEntry{server("s1", "logs", "g", PhaseDraining)}))
			result := l.add("late", c.record(seen))
			g.Expect(result.Accepted).To(gomega.Equal(c.accepted))
			if !c.accepted {
				g.Expect(result.Conflict.Reason).To(gomega.Equal(ReasonChanged))
			}
			known, _ := l.state.View().Server("s1")
			g.Expect(known.Phase).To(gomega.Equal(c.phase))
		})
	}
}

func TestTheBasisIsCheckedAfterARestore(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLog()
	seen := l.state.Applied()
	l.add("op", update([]*bspb.ServerEntry{server("s1", "logs", "g", PhaseDraining)}))
	restored, err := Restore(l.state.Snapshot())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(proto.Equal(restored.Snapshot(), l.state.Snapshot())).To(gomega.BeTrue())
	for _, s := range []*State{l.state, restored} {
		late := updateFrom(seen+1, nil, "s1")
		late.Format, late.Writer, late.Sequence = 1, "late", 1
		g.Expect(s.Apply(s.Applied()+1, late).Accepted).To(gomega.BeTrue())
	}
	l.add("op", update([]*bspb.ServerEntry{server("s1", "logs", "g", PhaseLive)}))
	restored, err = Restore(l.state.Snapshot())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	late := updateFrom(seen+1, nil, "s1")
	late.Format, late.Writer, late.Sequence = 1, "late", 2
	g.Expect(restored.Apply(restored.Applied()+1, late).Accepted).To(gomega.BeFalse())
}

// TestLateLossDoesNotMarkNewIncarnation confirms the loss of an incarnation
// after the node was restarted, and of a server after it returned.
func TestLateLossDoesNotMarkNewIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLog()
	l.add("op", joinNode("n1", "b1"))
	l.add("op", update([]*bspb.ServerEntry{server("s1", "logs", "g", PhaseLive)}))
	seen := l.state.Applied()
	l.add("op", joinNode("n1", "b2"))
	l.add("op", update([]*bspb.ServerEntry{server("s1", "logs", "g", PhaseLive)}))
	loss := &bspb.ConfirmLoss{Servers: []string{"s1"}, Nodes: []string{"n1@b1"}, Basis: uint64(seen)}
	result := l.add("late", &bspb.Record{Body: &bspb.Record_ConfirmLoss{ConfirmLoss: loss}})
	g.Expect(result.Conflict.Reason).To(gomega.Equal(ReasonNothingNamed))
	g.Expect(l.state.View().NodeLost("n1")).To(gomega.BeFalse())
	g.Expect(l.state.View().ServerLost("s1")).To(gomega.BeFalse())

	loss = &bspb.ConfirmLoss{Servers: []string{"s1"}, Nodes: []string{"n1@b2"}, Basis: uint64(l.state.Applied())}
	g.Expect(l.add("late", &bspb.Record{Body: &bspb.Record_ConfirmLoss{ConfirmLoss: loss}}).Accepted).To(gomega.BeTrue())
	g.Expect(l.state.View().IncarnationLost("n1", "b2")).To(gomega.BeTrue())
	g.Expect(l.state.View().ServerLost("s1")).To(gomega.BeTrue())
}
