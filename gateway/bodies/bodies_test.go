package bodies

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var testLimits = Limits{Small: 256 << 10, Large: 1 << 20}

// open returns an account that began to arrive some time ago, and whether it has been interrupted.
func open(t *testing.T, m *Memory, age time.Duration) (a *Account, interrupted *bool) {
	t.Helper()
	interrupted = new(bool)
	a, err := m.Open(-1, time.Now().Add(-age), func() { *interrupted = true })
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return a, interrupted
}

func (a *Account) growAndReceive(bytes int64) error {
	err := a.grow(bytes, time.Now())
	if err == nil {
		a.received(bytes)
	}
	return err
}

func TestBodyIsReadWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		text := bytes.Repeat([]byte("0123456789abcdef"), rapid.IntRange(0, 20000).Draw(t, "sixteens"))
		text = text[:len(text)-rapid.IntRange(0, min(len(text), 15)).Draw(t, "fewer")]
		announced := int64(len(text))
		if rapid.Bool().Draw(t, "in chunks") {
			announced = -1
		}
		var source io.Reader = bytes.NewReader(text)
		if rapid.Bool().Draw(t, "in pieces") {
			source = iotest.HalfReader(source)
		}
		m := NewMemory(testLimits, nil)
		a, err := m.Open(announced, time.Now(), func() {})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := Read(source, a, announced, int64(len(text)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body.Len()).To(gomega.Equal(len(text)))
		g.Expect(bytes.Equal(bytes.Join(body, nil), text)).To(gomega.BeTrue())
		a.Release()
		g.Expect(m.State()).To(gomega.Equal(State{}))
	})
}

func TestBodyBeyondLimitIsNotReadOn(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMemory(testLimits, nil)
	a, _ := open(t, m, 0)
	var tooLong *TooLongError
	_, err := Read(neverRead{t}, a, 1001, 1000)
	g.Expect(errors.As(err, &tooLong)).To(gomega.BeTrue(), "announced")
	_, err = Read(bytes.NewReader(make([]byte, 300<<10)), a, -1, 200<<10)
	g.Expect(errors.As(err, &tooLong)).To(gomega.BeTrue(), "in chunks")
}

type neverRead struct{ t *testing.T }

func (r neverRead) Read([]byte) (int, error) {
	r.t.Error("the body was read")
	return 0, io.EOF
}

// Announcements that are never sent do not keep others out.
func TestAnnouncementTakesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMemory(testLimits, nil)
	for range 100 {
		_, err := m.Open(testLimits.Large, time.Now(), func() {})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	a, _ := open(t, m, 0)
	g.Expect(a.growAndReceive(testLimits.Large)).To(gomega.Succeed())
}

// What the bodies that have arrived leave no room for is refused before it is read.
func TestHopelessBodyIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMemory(testLimits, func() int64 { return 100 << 10 })
	a, _ := open(t, m, 0)
	g.Expect(a.growAndReceive(600 << 10)).To(gomega.Succeed())
	g.Expect(a.complete()).To(gomega.Succeed())
	_, err := m.Open(600<<10, time.Now(), func() {})
	var full *FullError
	g.Expect(errors.As(err, &full)).To(gomega.BeTrue())
	a.Release()
	_, err = m.Open(600<<10, time.Now(), func() {})
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestStalledBodyMakesRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMemory(testLimits, nil)
	stalled, interrupted := open(t, m, time.Minute)
	g.Expect(stalled.growAndReceive(testLimits.Large)).To(gomega.Succeed())
	next, _ := open(t, m, 0)
	g.Expect(next.growAndReceive(200 << 10)).To(gomega.Succeed())
	g.Expect(*interrupted).To(gomega.BeTrue())
	var evicted *EvictedError
	g.Expect(errors.As(stalled.grow(1, time.Now()), &evicted)).To(gomega.BeTrue())
	g.Expect(errors.As(stalled.complete(), &evicted)).To(gomega.BeTrue())
	stalled.Release()
	g.Expect(m.State().Evicted).To(gomega.Equal(int64(1)))
	g.Expect(m.State().Reading).To(gomega.Equal(1))
}

// A body that has arrived whole, or arrives fast, is not ended for a newer one.
func TestFastOrCompleteBodyIsKept(t *testing.T) {
	for _, isComplete := range []bool{true, false} {
		g := gomega.NewWithT(t)
		m := NewMemory(testLimits, nil)
		first, interrupted := open(t, m, 2*time.Second)
		g.Expect(first.growAndReceive(testLimits.Large)).To(gomega.Succeed())
		if isComplete {
			g.Expect(first.complete()).To(gomega.Succeed())
		}
		next, _ := open(t, m, 0)
		var full *FullError
		g.Expect(errors.As(next.growAndReceive(200<<10), &full)).To(gomega.BeTrue())
		g.Expect(*interrupted).To(gomega.BeFalse())
	}
}

// Large bodies do not keep small ones out.
func TestSmallBodiesHaveTheirPart(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMemory(testLimits, nil)
	large, _ := open(t, m, 0)
	g.Expect(large.growAndReceive(testLimits.Large)).To(gomega.Succeed())
	g.Expect(large.complete()).To(gomega.Succeed())
	small, _ := open(t, m, 0)
	g.Expect(small.growAndReceive(20 << 10)).To(gomega.Succeed())
}

// Small bodies are not confined to their part while large ones leave room.
func TestSmallBodiesTakeFreeMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMemory(testLimits, nil)
	count := 0
	for ; count < 100; count++ {
		a, _ := open(t, m, 0)
		if a.growAndReceive(20<<10) != nil {
			break
		}
		g.Expect(a.complete()).To(gomega.Succeed())
	}
	g.Expect(count).To(gomega.BeNumerically(">=", int(testLimits.Small+testLimits.Large)/(20<<10)-1))
}

// Whatever bodies do, they hold no more than the limits, and nothing in the end.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		m := NewMemory(testLimits, nil)
		now := time.Now()
		var accounts []*Account
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				state := m.State()
				g.Expect(state.Small).To(gomega.BeNumerically("<=", testLimits.Small))
				g.Expect(state.Large).To(gomega.BeNumerically("<=", testLimits.Large))
				var held [parts]int64
				for _, a := range accounts {
					for p := range held {
						held[p] += a.held[p]
					}
				}
				g.Expect(held).To(gomega.Equal([parts]int64{state.Small, state.Large}))
			},
			"open": func(t *rapid.T) {
				if a, err := m.Open(rapid.Int64Range(-1, 2<<20).Draw(t, "announced"), now, func() {}); err == nil {
					accounts = append(accounts, a)
				}
			},
			"grow": func(t *rapid.T) {
				if len(accounts) == 0 {
					return
				}
				a := rapid.SampledFrom(accounts).Draw(t, "account")
				bytes := rapid.Int64Range(1, 500<<10).Draw(t, "bytes")
				if a.grow(bytes, now) == nil {
					a.received(rapid.Int64Range(0, bytes).Draw(t, "received"))
				}
			},
			"end": func(t *rapid.T) {
				if len(accounts) == 0 {
					return
				}
				a := rapid.SampledFrom(accounts).Draw(t, "account")
				if rapid.Bool().Draw(t, "completes") {
					_ = a.complete()
				} else {
					a.Release()
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		for _, a := range accounts {
			a.Release()
		}
		g.Expect(m.State().Small + m.State().Large).To(gomega.BeZero())
	})
}
