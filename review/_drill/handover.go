package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	handoverFor    = 85 * time.Second
	garbleFor      = 5 * time.Second
	garbleEvery    = 6 * time.Second
	faultyShare    = 0.6
	replaceEvery   = time.Second // one target is replaced after the other
	servesDraining = 4 * time.Second
	allKeys        = 65536
	targetCount    = 10
	callerCount    = 40 // at each node
	callerPause    = 50 * time.Millisecond
	archiveWork    = 300 * time.Millisecond
	archiveSlots   = 6
	archiveQueue   = 24
)

// runHandover replaces the targets of a service that is divided by key one after the other, while some of its targets send
// an extra response after a few of their answers, at the point where the next response is expected.
func runHandover(s *drillSite, trouble bool) (broken []string, err error) {
	clusters := []map[string]any{{"name": "archive", "health-path": "/healthz", "sharded": true}}
	rules := []map[string]any{route("archive", "safe", "/archive/", "archive", 4, 0.6)}
	if err := s.publish([]map[string]any{{"host": "site.example", "rules": rules}}, clusters); err != nil {
		return nil, err
	}
	add := func(i int) (*target, error) {
		t, err := s.addTarget("archive", string(rune('a'+i%3)), archiveSlots, archiveQueue, archiveWork, true)
		if err == nil {
			t.mu.Lock()
			t.isFaulty = trouble && rand.Float64() < faultyShare
			t.mu.Unlock()
		}
		return t, err
	}
	var present []*target
	for i := range targetCount {
		t, err := add(i)
		if err != nil {
			return nil, err
		}
		present = append(present, t)
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(handoverFor)
	var playing sync.WaitGroup
	playing.Go(func() {
		for time.Now().Before(end) {
			s.garble(garbleFor)
			time.Sleep(garbleEvery)
		}
	})
	playing.Go(func() {
		for i := targetCount; time.Now().Before(end); i++ {
			t, err := add(i)
			if err != nil {
				return
			}
			present = append(present, t)
			go present[0].leave(servesDraining)
			present = present[1:]
			time.Sleep(replaceEvery)
		}
	})
	for _, n := range s.nodes {
		for range callerCount {
			playing.Go(func() {
				c := newCaller(n, s.record, true)
				for time.Now().Before(end) {
					c.send(message{what: "lookup", method: "GET", host: "site.example", path: "/archive/1", key: rand.IntN(allKeys), timeout: 4 * time.Second})
					time.Sleep(callerPause)
				}
			})
		}
	}
	playing.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken, nil
}
