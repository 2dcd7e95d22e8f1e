package transfer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/returns"
)

var start = time.Unix(1000, 0)

func newBounds(limits Limits) *Bounds { return New(limits, rand.New(rand.NewPCG(1, 1))) }

// request returns a request that arrives some time after the start, with six seconds left.
func request(priority int, arrives time.Duration) *Request {
	at := start.Add(arrives)
	return &Request{Route: "r", Priority: priority, ArrivedAt: at, Deadline: at.Add(6 * time.Second), Objective: 800 * time.Millisecond}
}

// admittedAtOnce submits requests until one gets no room, and returns how many got some.
func admittedAtOnce(b *Bounds, most int) int {
	for n := range most {
		if waitsFor, refusal := b.Submit(request(1, 0), start); waitsFor != "" || refusal != nil {
			return n
		}
	}
	return most
}

// Guards against large answers that together take more memory, or longer on the link than the objective.
func TestLargeAnswersAreBoundedByMemoryAndLink(t *testing.T) {
	for name, c := range map[string]struct {
		limits   Limits
		size     int64 // that earlier answers had; 0: there were none
		admitted int
		reason   Reason
	}{
		"memory":                            {Limits{Memory: 1 << 20}, 0, 8, Memory},
		"memory, larger answers than usual": {Limits{Memory: 1 << 20}, 256 << 10, 4, Memory},
		"10 Mbit/s, 90 KB, 800 ms":          {Limits{Link: 1.25e6, Memory: 1 << 30}, 90_000, 11, Link},
		"200 Mbit/s, narrow memory":         {Limits{Link: 25e6, Memory: 9e6}, 90_000, 100, Memory},
		"link and memory unknown":           {Limits{}, 90_000, 1000, ""},
		"beyond the bounds":                 {Limits{Memory: 64 << 10}, 0, 1, Memory},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newBounds(c.limits)
			if c.size > 0 {
				b.routes["r"] = &routeMeans{size: float64(c.size), hold: time.Second}
			}
			g.Expect(admittedAtOnce(b, 1000)).To(gomega.Equal(c.admitted))
			if c.reason != "" {
				waitsFor, _ := b.Submit(request(1, time.Millisecond), start.Add(time.Millisecond))
				g.Expect(waitsFor).To(gomega.Equal(c.reason))
			}
		})
	}
}

// Guards against a route whose answers are taken for small ones, or for large ones, for good.
func TestExpectedSizeFollowsRecentAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBounds(Limits{Memory: 1 << 20})
	for range 60 {
		r := request(1, 0)
		b.Submit(r, start)
		b.Received(r, 500_000, start)
		g.Expect(b.Bytes()).To(gomega.BeEquivalentTo(500_000), "its own size from now on")
		b.Release(r, start.Add(time.Second))
		g.Expect(b.Bytes()).To(gomega.BeZero())
	}
	g.Expect(b.size(request(1, 0))).To(gomega.BeNumerically("~", 500_000, 5_000))
	g.Expect(admittedAtOnce(b, 100)).To(gomega.Equal(2))
}

// Guards against a node that lets urgent requests wait behind others, and against room that is not given on.
func TestWaitingRequestsGetRoomByPriorityThenArrival(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBounds(Limits{Memory: defaultSize})
	first := request(1, 0)
	b.Submit(first, start)
	waiting := []*Request{request(2, 1), request(1, 3), request(1, 2), request(0, 4)}
	for _, r := range waiting {
		waitsFor, refusal := b.Submit(r, start)
		g.Expect(waitsFor).To(gomega.Equal(Memory))
		g.Expect(refusal).To(gomega.BeNil())
	}
	for _, i := range []int{3, 2, 1, 0} {
		b.Release(first, start.Add(time.Millisecond))
		admitted, refused := b.Next(start.Add(time.Millisecond))
		g.Expect(admitted).To(gomega.Equal([]*Request{waiting[i]}))
		g.Expect(refused).To(gomega.BeEmpty())
		first = waiting[i]
	}
	b.Release(first, start)
	g.Expect(b.Bytes()).To(gomega.BeZero())
}

// Guards against requests that wait until their deadline although room cannot come in time: those behind others, behind callers
// that do not read, and behind urgent ones that arrive later.
func TestRequestThatCannotBeAnsweredInTimeIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBounds(Limits{Memory: defaultSize})
	reading := request(1, 0)
	b.Submit(reading, start)
	waited := 0
	for ; ; waited++ {
		waitsFor, refusal := b.Submit(request(1, 0), start)
		if waitsFor == "" {
			g.Expect(refusal.Reason).To(gomega.Equal(Memory))
			g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">=", returns.MinDelay))
			g.Expect(refusal.RetryAfter).To(gomega.BeNumerically("<=", returns.MaxDelay))
			break
		}
	}
	g.Expect(waited).To(gomega.Equal(5), "each takes a second, and half of one must be left of six")
	urgent := request(0, 0)
	b.Submit(urgent, start)
	_, refused := b.Next(start)
	g.Expect(refused).To(gomega.HaveLen(1), "the last one, behind the urgent one")
	g.Expect(b.GiveUp(urgent, start).Reason).To(gomega.Equal(Memory))
	_, refused = b.Next(start.Add(4 * time.Second))
	g.Expect(b.Waiting()).To(gomega.BeZero(), "a caller that has not read for 4 s is expected to take 4 s more")
	g.Expect(refused).To(gomega.HaveLen(4))
}

// Guards against hedges that take the room of requests which wait, or that are not counted.
func TestHedgeTakesRoomToo(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBounds(Limits{Memory: 2 * defaultSize})
	r := request(1, 0)
	b.Submit(r, start)
	g.Expect(b.TryHedge(r, start)).To(gomega.BeTrue())
	g.Expect(b.Bytes()).To(gomega.BeEquivalentTo(2 * defaultSize))
	g.Expect(b.TryHedge(r, start)).To(gomega.BeFalse(), "there is no room for a third")
	b.CancelHedge(r)
	g.Expect(b.Bytes()).To(gomega.BeEquivalentTo(defaultSize))
	b.Submit(request(1, 1), start)
	b.Submit(request(1, 2), start)
	b.Release(r, start)
	g.Expect(b.Waiting()).To(gomega.Equal(1))
	other := request(1, 0)
	g.Expect(b.TryHedge(other, start)).To(gomega.BeFalse(), "a request waits")
}

// Guards against requests that are refused because the only answer in flight is a small one, as if room came back no faster.
func TestSmallAnswerInFlightRefusesNoneBehindIt(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBounds(Limits{Memory: 1})
	small := request(1, 0)
	b.Submit(small, start)
	b.Submit(request(1, 1), start)
	b.Submit(request(1, 2), start)
	b.Received(small, 1000, start)
	_, refused := b.Next(start)
	g.Expect(refused).To(gomega.BeEmpty())
}

// Guards against callers that read slowly and thereby keep other callers' answers from a link that is idle.
func TestSlowReadersDoNotTakeTheLink(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBounds(Limits{Link: 1.25e6, Memory: 1 << 30})
	b.routes["r"] = &routeMeans{size: 90_000, hold: time.Second}
	for range 11 {
		slow := request(1, 0)
		b.Submit(slow, start)
		b.Received(slow, 90_000, start)
	}
	waitsFor, _ := b.Submit(request(1, time.Millisecond), start)
	g.Expect(waitsFor).To(gomega.Equal(Link))
	admitted, refused := b.Next(start.Add(800 * time.Millisecond))
	g.Expect(admitted).To(gomega.BeEmpty(), "the link may still deliver all of them within the objective")
	g.Expect(refused).To(gomega.BeEmpty())
	admitted, _ = b.Next(start.Add(1600 * time.Millisecond))
	g.Expect(admitted).To(gomega.HaveLen(1))
	g.Expect(b.linkBytes(start.Add(1600 * time.Millisecond))).To(gomega.BeEquivalentTo(11*45_000 + 90_000))
	g.Expect(b.Bytes()).To(gomega.BeEquivalentTo(12*90_000), "they take memory until they have ended")
}
