// Package logtest tests the contract that every driver of platlog.Log must meet,
// as Ginkgo specs. Drivers call Describe in their tests.
package logtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/topo"
)

// callTimeout is the timeout of every call that is expected to return.
const callTimeout = 20 * time.Second

// Target is a driver under test with its own log.
type Target struct {
	Log platlog.Log
	// Truncate drops the entries with offsets below first.
	Truncate func(first topo.Offset)
	// Faults injects the faults that the driver can encounter; the fault table
	// omits those that are nil.
	Faults Faults
}

// Faults holds functions that each inject one fault, and Heal, which ends them.
type Faults struct {
	Down         func() // calls are refused
	Cut          func() // connections end without a response
	Unresponsive func() // calls get no response
	LoseAnswer   func() // the next append takes effect, but its response is lost
	LoseRequest  func() // the next append is lost without the driver detecting it
	Repeat       func() // reads return earlier entries again
	Heal         func()
}

// Open returns a new target with an empty log.
type Open func(t testing.TB) Target

// Describe defines the specs of the whole contract for one driver. faults lists
// all faults that the driver's targets can inject.
func Describe(driver string, open Open, faults ...Fault) bool {
	return ginkgo.Describe(driver, func() {
		ginkgo.DescribeTable("contract",
			func(run func(t testing.TB, target Target)) {
				t := ginkgo.GinkgoTB()
				run(t, open(t))
			},
			ginkgo.Entry("offsets ascend from 1", offsetsAscend),
			ginkgo.Entry("reads are bounded and complete", readsAreBounded),
			ginkgo.Entry("a read at the end returns the end", readAtEnd),
			ginkgo.Entry("a waiting read is woken by an append", waitingReadWakes),
			ginkgo.Entry("a waiting read ends by itself", waitingReadEnds),
			ginkgo.Entry("a read ends with its context", readEndsWithContext),
			ginkgo.Entry("concurrent appends are all kept once", concurrentAppends),
			ginkgo.Entry("data is kept byte for byte", dataIsKept),
			ginkgo.Entry("data does not alias the caller's", dataDoesNotAlias),
			ginkgo.Entry("below the retention limit", belowRetention),
		)
		describeFaults(open, faults)
	})
}

func deadline(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	t.Cleanup(cancel)
	return ctx
}

func appendAll(t testing.TB, log platlog.Log, count int) {
	t.Helper()
	for i := range count {
		offset, err := log.Append(deadline(t), fmt.Appendf(nil, "record %d", i+1))
		if err != nil || offset != topo.Offset(i+1) {
			t.Fatalf("append %d: offset %d, error %v", i+1, offset, err)
		}
	}
}

func readAll(t testing.TB, log platlog.Log, req platlog.ReadRequest) platlog.Batch {
	t.Helper()
	batch, err := log.Read(deadline(t), req)
	if err != nil {
		t.Fatalf("read %+v: %v", req, err)
	}
	return batch
}

func offsetsOf(batch platlog.Batch) []topo.Offset {
	offsets := []topo.Offset{}
	for _, entry := range batch.Entries {
		offsets = append(offsets, entry.Offset)
	}
	return offsets
}

func offsetsAscend(t testing.TB, target Target) {
	g := gomega.NewWithT(t)
	appendAll(t, target.Log, 3)
	for _, from := range []topo.Offset{0, 1} {
		batch := readAll(t, target.Log, platlog.ReadRequest{From: from})
		g.Expect(offsetsOf(batch)).To(gomega.Equal([]topo.Offset{1, 2, 3}))
		g.Expect(batch.First).To(gomega.Equal(topo.Offset(1)))
		g.Expect(batch.End).To(gomega.Equal(topo.Offset(4)))
		g.Expect(string(batch.Entries[1].Data)).To(gomega.Equal("record 2"))
	}
}

func readsAreBounded(t testing.TB, target Target) {
	g := gomega.NewWithT(t)
	appendAll(t, target.Log, 10)
	next := topo.Offset(1)
	for next <= 10 {
		batch := readAll(t, target.Log, platlog.ReadRequest{From: next, Max: 4})
		g.Expect(batch.Entries).NotTo(gomega.BeEmpty())
		g.Expect(len(batch.Entries)).To(gomega.BeNumerically("<=", 4))
		for _, entry := range batch.Entries {
			g.Expect(entry.Offset).To(gomega.Equal(next))
			next++
		}
	}
}

func readAtEnd(t testing.TB, target Target) {
	g := gomega.NewWithT(t)
	for count := range topo.Offset(2) {
		batch := readAll(t, target.Log, platlog.ReadRequest{From: count + 1})
		g.Expect(batch.Entries).To(gomega.BeEmpty())
		g.Expect(batch.End).To(gomega.Equal(count + 1))
		if count == 0 {
			appendAll(t, target.Log, 1)
		}
	}
	beyond := readAll(t, target.Log, platlog.ReadRequest{From: 100})
	g.Expect(beyond.Entries).To(gomega.BeEmpty())
	g.Expect(beyond.End).To(gomega.Equal(topo.Offset(2)))
}

func waitingReadWakes(t testing.TB, target Target) {
	g := gomega.NewWithT(t)
	got := make(chan platlog.Batch, 1)
	ctx := deadline(t)
	go func() {
		batch, _ := target.Log.Read(ctx, platlog.ReadRequest{From: 1, Wait: callTimeout})
		got <- batch
	}()
	appendAll(t, target.Log, 1)
	g.Expect(offsetsOf(<-got)).To(gomega.Equal([]topo.Offset{1}))
}

func waitingReadEnds(t testing.TB, target Target) {
	g := gomega.NewWithT(t)
	batch := readAll(t, target.Log, platlog.ReadRequest{From: 1, Wait: 20 * time.Millisecond})
	g.Expect(batch.Entries).To(gomega.BeEmpty())
	g.Expect(batch.End).To(gomega.Equal(topo.Offset(1)))
}

func readEndsWithContext(t testing.TB, target Target) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := target.Log.Read(ctx, platlog.ReadRequest{From: 1, Wait: callTimeout})
		ended <- err
	}()
	cancel()
	g.Expect(errors.Is(<-ended, context.Canceled)).To(gomega.BeTrue())
}

func concurrentAppends(t testing.TB, target Target) {
	g := gomega.NewWithT(t)
	const writers, each = 8, 10
	ctx := deadline(t)
	var mu sync.Mutex
	at := map[topo.Offset]string{}
	failures := make(chan string, writers)
	var running sync.WaitGroup
	for writer := range writers {
		running.Go(func() {
			for i := range each {
				text := fmt.Sprintf("%d/%d", writer, i)
				offset, err := target.Log.Append(ctx, []byte(text))
				if err != nil {
					failures <- fmt.Sprintf("append %s: %v", text, err)
					return
				}
				mu.Lock()
				at[offset] = text
				mu.Unlock()
			}
		})
	}
	running.Wait()
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
	batch := readAll(t, target.Log, platlog.ReadRequest{From: 1, Max: writers * each})
	g.Expect(batch.Entries).To(gomega.HaveLen(writers * each))
	for _, entry := range batch.Entries {
		g.Expect(at[entry.Offset]).To(gomega.Equal(string(entry.Data)))
	}
}

func dataIsKept(t testing.TB, target Target) {
	g := gomega.NewWithT(t)
	allBytes := make([]byte, 256)
	for i := range allBytes {
		allBytes[i] = byte(i)
	}
	samples := [][]byte{{}, allBytes, bytes.Repeat(allBytes, 4096)}
	for _, sample := range samples {
		offset, err := target.Log.Append(deadline(t), sample)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		batch := readAll(t, target.Log, platlog.ReadRequest{From: offset, Max: 1})
		g.Expect(bytes.Equal(batch.Entries[0].Data, sample)).To(gomega.BeTrue())
	}
}

func dataDoesNotAlias(t testing.TB, target Target) {
	g := gomega.NewWithT(t)
	data := []byte("before")
	_, err := target.Log.Append(deadline(t), data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	copy(data, "after!")
	batch := readAll(t, target.Log, platlog.ReadRequest{From: 1})
	g.Expect(string(batch.Entries[0].Data)).To(gomega.Equal("before"))
}

func belowRetention(t testing.TB, target Target) {
	g := gomega.NewWithT(t)
	appendAll(t, target.Log, 5)
	target.Truncate(4)
	_, err := target.Log.Read(deadline(t), platlog.ReadRequest{From: 3})
	var truncated *platlog.TruncatedError
	g.Expect(errors.As(err, &truncated)).To(gomega.BeTrue(), fmt.Sprint(err))
	g.Expect(*truncated).To(gomega.Equal(platlog.TruncatedError{From: 3, First: 4}))
	batch := readAll(t, target.Log, platlog.ReadRequest{From: 4})
	g.Expect(offsetsOf(batch)).To(gomega.Equal([]topo.Offset{4, 5}))
	g.Expect(batch.First).To(gomega.Equal(topo.Offset(4)))
	target.Truncate(6)
	empty := readAll(t, target.Log, platlog.ReadRequest{From: 6})
	g.Expect(empty.First).To(gomega.Equal(topo.Offset(6)))
	g.Expect(empty.End).To(gomega.Equal(topo.Offset(6)))
}
