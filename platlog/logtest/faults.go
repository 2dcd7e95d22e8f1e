package logtest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/topo"
)

// stallTimeout is the timeout of a call that gets no response.
const stallTimeout = 50 * time.Millisecond

// outcome is the outcome of an append under a fault.
type outcome int

const (
	answered    outcome = iota // with its offset
	unavailable                // *platlog.UnavailableError
	uncertain                  // *platlog.UncertainError, or the context's error
)

// Fault names a row of the fault table.
type Fault string

// The faults that a driver can encounter.
const (
	Down         Fault = "down"
	Cut          Fault = "cut"
	Unresponsive Fault = "silent"
	AnswerLost   Fault = "answer lost"
	RequestLost  Fault = "request lost"
	ReadAgain    Fault = "entries read again"
)

// faultCase is one row of the fault table.
type faultCase struct {
	name     Fault
	fault    func(Faults) func()
	append   outcome
	appended bool // whether the record is in the log afterwards
	readFail bool // whether reads fail too
}

// faultCases is the fault table for every driver.
var faultCases = []faultCase{
	{Down, func(f Faults) func() { return f.Down }, unavailable, false, true},
	{Cut, func(f Faults) func() { return f.Cut }, uncertain, false, true},
	{Unresponsive, func(f Faults) func() { return f.Unresponsive }, uncertain, false, true},
	{AnswerLost, func(f Faults) func() { return f.LoseAnswer }, uncertain, true, false},
	{RequestLost, func(f Faults) func() { return f.LoseRequest }, uncertain, false, false},
	{ReadAgain, func(f Faults) func() { return f.Repeat }, answered, true, false},
}

// describeFaults defines the rows of the fault table that the driver can
// encounter.
func describeFaults(open Open, faults []Fault) {
	ginkgo.It("lists the faults that it can encounter", func() {
		t := ginkgo.GinkgoTB()
		gomega.NewWithT(t).Expect(faults).To(gomega.ConsistOf(possible(open(t).Faults)))
	})
	var rows []any
	for _, c := range faultCases {
		if slices.Contains(faults, c.name) {
			rows = append(rows, ginkgo.Entry(string(c.name), c))
		}
	}
	if len(rows) == 0 {
		return
	}
	run := func(c faultCase) {
		t := ginkgo.GinkgoTB()
		target := open(t)
		c.run(t, target, c.fault(target.Faults))
	}
	ginkgo.DescribeTable("faults", append([]any{run}, rows...)...)
}

// possible returns the faults that a target can inject.
func possible(faults Faults) []Fault {
	names := []Fault{}
	for _, c := range faultCases {
		if c.fault(faults) != nil {
			names = append(names, c.name)
		}
	}
	return names
}

func (c faultCase) run(t testing.TB, target Target, inject func()) {
	g := gomega.NewWithT(t)
	appendAll(t, target.Log, 3)
	inject()
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

// limit returns the timeout of the case's calls. It is short for the unresponsive
// log, whose calls always time out.
func (c faultCase) limit() time.Duration {
	if c.name == Unresponsive {
		return stallTimeout
	}
	return callTimeout
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

// withoutRepeats returns the offsets of a batch without those below 2, the first
// requested offset.
func withoutRepeats(batch platlog.Batch) []topo.Offset {
	offsets := offsetsOf(batch)
	for len(offsets) > 0 && offsets[0] < 2 {
		offsets = offsets[1:]
	}
	return offsets
}
