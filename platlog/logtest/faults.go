package logtest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/topo"
)

// silence is how long the contract waits for a call that gets no answer.
const silence = 50 * time.Millisecond

// outcome is what an append may be under a fault.
type outcome int

const (
	answered    outcome = iota // with its offset
	unavailable                // *platlog.UnavailableError
	uncertain                  // *platlog.UncertainError, or the context's error
)

// faultCase is one row of the fault table.
type faultCase struct {
	name     string
	fault    func(Faults) func()
	append   outcome
	appended bool // the record is in the log afterwards
	readFail bool // reads fail too
}

// faultCases is the fault table that every driver meets.
var faultCases = []faultCase{
	{"down", func(f Faults) func() { return f.Down }, unavailable, false, true},
	{"cut", func(f Faults) func() { return f.Cut }, uncertain, false, true},
	{"silent", func(f Faults) func() { return f.Silent }, uncertain, false, true},
	{"answer lost", func(f Faults) func() { return f.LoseAnswer }, uncertain, true, false},
	{"request lost", func(f Faults) func() { return f.LoseRequest }, uncertain, false, false},
	{"entries read again", func(f Faults) func() { return f.Repeat }, answered, true, false},
}

// runFaults runs the fault table.
func runFaults(t *testing.T, open func(t *testing.T) Target) {
	t.Helper()
	possible := open(t).Faults
	for _, c := range faultCases {
		if c.fault(possible) == nil {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			target := open(t)
			c.run(t, target, c.fault(target.Faults))
		})
	}
}

func (c faultCase) run(t *testing.T, target Target, bring func()) {
	g := gomega.NewWithT(t)
	appendAll(t, target.Log, 3)
	bring()
	limited, cancel := context.WithTimeout(context.Background(), c.limit())
	defer cancel()
	_, err := target.Log.Append(limited, []byte("under the fault"))
	g.Expect(outcomeOf(err)).To(gomega.Equal(c.append), fmt.Sprint(err))
	_, err = target.Log.Read(limited, platlog.ReadRequest{From: 3})
	g.Expect(err != nil).To(gomega.Equal(c.readFail), fmt.Sprint(err))
	target.Faults.Heal()

	batch := readAll(t, target.Log, platlog.ReadRequest{From: 2})
	want := []topo.Offset{2, 3}
	if c.appended {
		want = append(want, 4)
	}
	g.Expect(withoutRepeats(batch)).To(gomega.Equal(want))
	offset, err := target.Log.Append(deadline(t), []byte("after the fault"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(offset).To(gomega.Equal(want[len(want)-1] + 1))
}

// limit is short for the silent case, which has to be given up.
func (c faultCase) limit() time.Duration {
	if c.name == "silent" {
		return silence
	}
	return patience
}

func outcomeOf(err error) outcome {
	var refused *platlog.UnavailableError
	switch {
	case err == nil:
		return answered
	case errors.As(err, &refused):
		return unavailable
	}
	return uncertain
}

// withoutRepeats returns the offsets without those given before the first
// one asked for.
func withoutRepeats(batch platlog.Batch) []topo.Offset {
	offsets := offsetsOf(batch)
	for len(offsets) > 0 && offsets[0] < 2 {
		offsets = offsets[1:]
	}
	return offsets
}
