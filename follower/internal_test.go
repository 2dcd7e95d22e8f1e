package follower

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/checkpoint"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// at returns a state with this applied offset and lineage.
func at(t *testing.T, applied, lineage topo.Offset) *state.State {
	t.Helper()
	next, err := state.Restore(&bspb.Snapshot{
		Format: state.SnapshotFormat, Applied: uint64(applied), Lineage: uint64(lineage),
	})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestAdoptNeverGoesBack(t *testing.T) {
	cases := []struct {
		name             string
		applied, lineage topo.Offset
		rebased          bool
		adopted          bool
	}{
		{"further", 11, 4, false, true},
		{"same offset", 10, 4, false, false},
		{"behind", 9, 4, false, false},
		{"higher offset in an older lineage", 11, 3, false, false},
		{"rebased to a lower offset", 9, 8, true, true},
		{"rebased in an older lineage", 9, 3, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := New(Config{Node: "a", Boot: "b", Log: memlog.New(memlog.Retention{})})
			a := &applier{f: f, state: at(t, 10, 4)}
			a.publish()
			outcome := make(chan error, 1)
			next := at(t, c.applied, c.lineage)
			(&adoptMessage{state: next, rebased: c.rebased, outcome: outcome}).apply(a)
			g.Expect(<-outcome).To(gomega.Succeed())
			g.Expect(a.state == next).To(gomega.Equal(c.adopted))
			g.Expect(f.View().Applied()).To(gomega.Equal(a.state.Applied()))
		})
	}
}

func TestGapIsNeverApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	f := New(Config{Node: "a", Boot: "b", Log: memlog.New(memlog.Retention{})})
	a := &applier{f: f, state: at(t, 10, 0)}
	outcome := make(chan error, 1)
	(&entriesMessage{entries: []platlog.Entry{{Offset: 11}, {Offset: 13}}, outcome: outcome}).apply(a)
	g.Expect(<-outcome).To(gomega.Equal(&GapError{Applied: 11, Got: 13}))
	g.Expect(f.View().Applied()).To(gomega.Equal(topo.Offset(11)))
}

// Peers may send later records while a log read is in flight; the read still
// proves contact at its start. A log end before the requested offset does not.
func TestContactWhilePeersDeliverToo(t *testing.T) {
	cases := []struct {
		name      string
		from, end topo.Offset
		contact   bool
		rewound   bool
	}{
		{"at the end", 11, 11, true, false},
		{"peers were faster", 9, 9, true, false},
		{"more to read", 11, 12, false, false},
		{"log lost its end", 11, 10, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := New(Config{Node: "a", Boot: "b", Log: memlog.New(memlog.Retention{})})
			a := &applier{f: f, state: at(t, 10, 0)}
			outcome := make(chan error, 1)
			answer := &logResponse{begun: time.Now(), from: c.from, batch: platlog.Batch{First: 1, End: c.end}}
			(&entriesMessage{outcome: outcome, log: answer}).apply(a)
			g.Expect((<-outcome) != nil).To(gomega.Equal(c.rewound))
			g.Expect(!f.LastContact().IsZero()).To(gomega.Equal(c.contact))
		})
	}
}

func TestAdaptiveTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newAdaptiveTimeout(time.Second, 10*time.Second)
	steps := []struct {
		took time.Duration
		err  error
		want time.Duration
	}{
		{time.Second, context.DeadlineExceeded, 2 * time.Second},
		{time.Second, &platlog.UnavailableError{Cause: context.Canceled}, 2 * time.Second},
		{time.Second, &platlog.UncertainError{Cause: context.DeadlineExceeded}, 4 * time.Second},
		{time.Second, context.DeadlineExceeded, 8 * time.Second},
		{time.Second, context.DeadlineExceeded, 10 * time.Second},
		{1500 * time.Millisecond, nil, 6 * time.Second},
		{time.Millisecond, nil, time.Second},
		{-time.Millisecond, nil, time.Second},
		{time.Minute, nil, 10 * time.Second},
	}
	for _, step := range steps {
		p.observe(step.took, step.err)
		g.Expect(p.current).To(gomega.Equal(step.want))
	}
}

func TestRingIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRing(3, 10)
	for offset := range topo.Offset(9) {
		r.add(platlog.Entry{Offset: offset + 1, Data: make([]byte, 4)})
	}
	entries, first := r.read(1, 9)
	g.Expect(entries).To(gomega.BeEmpty())
	g.Expect(first).To(gomega.Equal(topo.Offset(8)))
	entries, _ = r.read(8, 9)
	g.Expect(entries).To(gomega.HaveLen(2))
	entries, _ = r.read(50, 9)
	g.Expect(entries).To(gomega.BeEmpty())
	r.add(platlog.Entry{Offset: 10, Data: make([]byte, 100)})
	entries, _ = r.read(10, 9)
	g.Expect(entries).To(gomega.HaveLen(1), "the newest stays, however large")
}

func TestPendingOutcomesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newOutcomes()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	waiting := &group{members: []*submission{{ctx: context.Background(), response: make(chan submitResponse, 1)}}}
	for sequence := range uint64(maxPending) {
		g.Expect(f.expect(sequence, waiting)).To(gomega.BeTrue())
	}
	g.Expect(f.expect(maxPending, waiting)).To(gomega.BeFalse())
	f.pending[7] = &group{members: []*submission{{ctx: ended}}}
	g.Expect(f.expect(maxPending, waiting)).To(gomega.BeTrue())
}

func TestCheckpointDue(t *testing.T) {
	g := gomega.NewWithT(t)
	const every, age = 100, time.Hour
	d := newCheckpointSchedule()
	now := time.Now()
	d.noteComplete(checkpoint.Info{Applied: 50, FirstChunk: 51, Bytes: 1000})
	for range every - 1 {
		d.noteRecord(9)
	}
	g.Expect(d.due(now, 0, every, age)).To(gomega.BeFalse())
	d.noteRecord(9)
	g.Expect(d.due(now, 0, every, age)).To(gomega.BeFalse(), "fewer bytes than the last checkpoint")
	d.noteRecord(100)
	g.Expect(d.due(now, 0, every, age)).To(gomega.BeTrue())
	g.Expect(d.due(now, 1, every, age)).To(gomega.BeFalse())
	g.Expect(d.due(now.Add(age+time.Minute), 1, every, age)).To(gomega.BeFalse())
	g.Expect(d.due(now.Add(2*age+time.Minute), 1, every, age)).To(gomega.BeTrue())
	for range every {
		d.noteRecord(9)
	}
	g.Expect(d.due(now, 1, every, age)).To(gomega.BeTrue())
	g.Expect(threshold(660, every)).To(gomega.BeNumerically("<", 40*every))

	d.noteComplete(checkpoint.Info{Applied: 250, FirstChunk: 252})
	d.noteFirst(252)
	g.Expect(d.due(time.Now(), 0, every, age)).To(gomega.BeFalse())
	d.noteFirst(253)
	g.Expect(d.due(time.Now(), 0, every, age)).To(gomega.BeTrue(), "the log dropped its first chunk")
	g.Expect(d.due(time.Now(), 1, every, age)).To(gomega.BeFalse())
	d.noteComplete(checkpoint.Info{Applied: 240, FirstChunk: 260})
	g.Expect(d.lastApplied()).To(gomega.Equal(topo.Offset(250)), "an older checkpoint is ignored")
}

func BenchmarkApplyEntries(b *testing.B) {
	f := New(Config{Node: "a", Boot: "b", Log: memlog.New(memlog.Retention{})})
	a := &applier{f: f, state: state.New()}
	b.ReportAllocs()
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		data, err := record.Encode(&bspb.Record{
			Format: record.Format, Writer: "x@y", Sequence: sequence,
			Body: &bspb.Record_ConfirmLoss{ConfirmLoss: &bspb.ConfirmLoss{}},
		})
		if err != nil {
			b.Fatal(err)
		}
		if err := a.applyEntries([]platlog.Entry{{Offset: topo.Offset(sequence), Data: data}}); err != nil {
			b.Fatal(err)
		}
		a.publish()
	}
}
