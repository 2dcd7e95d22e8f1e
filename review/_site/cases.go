package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ledgerCount is the number of targets that hold keys. disturbedCount of them are a share of 0.125: srv_grey has
	// 0.14, scale_in 0.13 and garble 0.6 at most.
	ledgerCount    = 24
	disturbedCount = 3
	// checkWork and activateWork are mean work times of the sheet.
	checkWork    = 330 * time.Millisecond
	activateWork = 420 * time.Millisecond
)

func ledgerTargets() []*target {
	var list []*target
	for i := range ledgerCount {
		list = append(list, &target{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: ledger, zone: zones[i%len(zones)], keyed: true, slots: 4, queue: 16, work: checkWork})
	}
	return list
}

// trafficFor sends requests for keys to all nodes until the context ends: activations, and balance checks for the rest.
func (s *site) trafficFor(ctx context.Context, perSecond, activations float64) {
	stream(ctx, perSecond, func() {
		g := s.gateways[rand.IntN(len(s.gateways))]
		if rand.Float64() < activations {
			s.clients.send(g, http.MethodPost, activatePrefx+"card", rand.IntN(65536), 10*time.Second, []byte("activate"))
			return
		}
		s.clients.send(g, http.MethodGet, checkPrefix+"card", rand.IntN(65536), 6*time.Second, nil)
	})
}

// playRelease: three targets leave, one after the other. When a release arrives at one that has requests at work, its
// answer to the grant before comes a second time on that connection, once.
func playRelease(s *site) (int, error) {
	s.targets = ledgerTargets()
	leaving := s.targets[:disturbedCount]
	if s.trouble {
		for _, t := range leaving {
			var once atomic.Bool
			t.copies = func(last, next sent) bool {
				return last.path == "/-/grant" && next.path == "/-/release" && t.works(0, 65535) > 0 && !once.Swap(true)
			}
		}
	}
	if err := s.begin(3, 536); err != nil {
		return failed, err
	}
	if err := s.awaitKeys(); err != nil {
		return failed, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 34*time.Second)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { s.trafficFor(ctx, 130, 0.25) })
	time.Sleep(4 * time.Second)
	for _, t := range leaving {
		time.Sleep(6 * time.Second)
		s.record.add("target %s begins to leave", t.id)
		t.drain()
	}
	running.Wait()
	return s.verdict(s.sharedKeys(), "OWNER"), nil
}

// sharedKeys returns the grants of keys on which another target was still at work, before the end of that one's
// hold as it was before its release.
func (s *site) sharedKeys() []string {
	var violations []string
	for _, t := range s.targets {
		for _, g := range t.grants {
			if !g.isNew {
				continue
			}
			for _, other := range s.targets {
				if other == t {
					continue
				}
				for _, r := range other.runs {
					end := r.end
					if end.IsZero() {
						end = time.Now()
					}
					if r.key < g.from || r.key > g.to || !r.start.Before(g.at) || !end.After(g.at) {
						continue
					}
					if until := other.lastHold(r.key, g.at); until.After(g.at) {
						violations = append(violations, fmt.Sprintf("at %.3f s target %s is granted keys %d to %d (fence %d), while target %s has been at work on %s, key %d, since %.3f s until %.3f s; its hold by grants ran until %.3f s",
							g.at.Sub(s.record.start).Seconds(), t.id, g.from, g.to, g.fence, other.id, r.id, r.key, r.start.Sub(s.record.start).Seconds(), end.Sub(s.record.start).Seconds(), until.Sub(s.record.start).Seconds()))
					}
				}
			}
		}
	}
	return violations
}

// lastHold returns the end of the latest hold that the target was granted of a key before a time.
func (t *target) lastHold(key int, before time.Time) time.Time {
	var until time.Time
	for _, g := range t.grants {
		if g.from <= key && key <= g.to && g.at.Before(before) && g.until.After(until) {
			until = g.until
		}
	}
	return until
}

// playTwice: some targets turn requests away as not run although their health is good, and some of these answers come
// a second time, at the next request on their connection.
func playTwice(s *site) (int, error) {
	s.targets = ledgerTargets()
	var disturbed atomic.Bool
	for _, grey := range s.targets[:disturbedCount] {
		if !s.trouble {
			break
		}
		grey.shedShare = func() float64 {
			if disturbed.Load() {
				return greyShare
			}
			return 0
		}
		grey.copies = func(last, next sent) bool {
			return disturbed.Load() && last.status == http.StatusServiceUnavailable && last.method == http.MethodPost && next.id == last.id
		}
	}
	if err := s.begin(3, 536); err != nil {
		return failed, err
	}
	if err := s.awaitKeys(); err != nil {
		return failed, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { s.trafficFor(ctx, 130, 0.75) })
	for range disturbances {
		time.Sleep(4 * time.Second)
		s.record.add("the disturbance begins")
		disturbed.Store(true)
		time.Sleep(disturbance)
		disturbed.Store(false)
		s.record.add("the disturbance ends")
	}
	time.Sleep(4 * time.Second)
	cancel()
	running.Wait()
	s.noteRefused()
	return s.verdict(s.runTwice(), "TWICE"), nil
}

// noteRefused records the unsafe requests that were answered as not run, and ran.
func (s *site) noteRefused() {
	ran := map[string]bool{}
	for _, t := range s.targets {
		for _, r := range t.runs {
			ran[r.id] = true
		}
	}
	for _, r := range s.clients.sent {
		isPromise := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests || r.status == http.StatusRequestTimeout || r.status == http.StatusMisdirectedRequest
		if r.unsafe && isPromise && ran[r.id] {
			s.record.add("BROKEN REFUSED (not counted): %s was answered with %d and ran", r.id, r.status)
		}
	}
}

const (
	// greyShare is the share of requests that srv_grey turns away, at most.
	greyShare = 0.45
	// disturbance is how long garble lasts, at most; srv_grey may last longer. It comes disturbances times.
	disturbance  = 5 * time.Second
	disturbances = 4
)

// runTwice returns the unsafe requests that ran more than once.
func (s *site) runTwice() []string {
	runs := map[string][]*run{}
	for _, t := range s.targets {
		for _, r := range t.runs {
			if r.unsafe {
				runs[r.id] = append(runs[r.id], r)
			}
		}
	}
	var violations []string
	for id, list := range runs {
		if len(list) > 1 {
			text := "unsafe request " + id + " ran at"
			for _, r := range list {
				text += fmt.Sprintf(" %s from %.3f s", r.instance, r.start.Sub(s.record.start).Seconds())
			}
			violations = append(violations, text)
		}
	}
	return violations
}
