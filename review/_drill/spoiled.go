package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	spoiledFor   = 30 * time.Second
	spoiledShare = 0.02            // of the answers of a faulty target
	garbleFor    = 5 * time.Second // and again after garbleEvery
	garbleEvery  = 7 * time.Second
	targetCount  = 10 // of each service
	faultyCount  = 3  // of these, a share of 0.3
	callerCount  = 15 // of each service at each node
	callerPause  = 50 * time.Millisecond
	quoteWork    = 90 * time.Millisecond
	orderWork    = 120 * time.Millisecond
	siteHost     = "site.example"
)

// runSpoiled sends requests while some targets spoil a few of their answers.
func runSpoiled(s *drillSite, trouble bool) (broken []string, err error) {
	clusters := []map[string]any{{"name": "quotes", "health-path": healthPath}, {"name": "orders", "health-path": healthPath}}
	rules := []map[string]any{route("quote", "safe", "/quote/", "quotes", 1, 0.3), route("order", "unsafe", "/order/", "orders", 1.2, 0.4)}
	if err := s.publish([]map[string]any{{"host": siteHost, "rules": rules}}, clusters); err != nil {
		return nil, err
	}
	for i := range targetCount {
		for service, work := range map[string]time.Duration{"quotes": quoteWork, "orders": orderWork} {
			isFaulty := trouble && i < faultyCount
			if err := s.addTarget(service, string(rune('a'+i%3)), work, isFaulty); err != nil {
				return nil, err
			}
		}
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(spoiledFor)
	var playing sync.WaitGroup
	playing.Go(func() {
		for time.Now().Before(end) {
			s.garble(garbleFor)
			time.Sleep(garbleEvery)
		}
	})
	for _, n := range s.nodes {
		for range callerCount {
			playing.Go(func() {
				sendUntil(end, newCaller(n, s.record, true), message{what: "quote", method: http.MethodGet, host: siteHost, path: "/quote/1", timeout: 2 * time.Second})
			})
			playing.Go(func() {
				sendUntil(end, newCaller(n, s.record, false), message{what: "order", method: http.MethodPost, host: siteHost, path: "/order/1", unsafe: true, body: []byte("one"), timeout: 2500 * time.Millisecond})
			})
		}
	}
	playing.Wait()
	return judgeSpoiled(s), nil
}

func sendUntil(end time.Time, c *caller, m message) {
	for time.Now().Before(end) {
		c.send(m)
		time.Sleep(callerPause)
	}
	c.end()
}

// judgeSpoiled applies MIXED: a client gets a success without the target's signature.
func judgeSpoiled(s *drillSite) (broken []string) {
	for _, a := range s.record.all() {
		if a.status >= http.StatusOK && a.status < http.StatusMultipleChoices && !a.signed {
			broken = append(broken, fmt.Sprintf("MIXED: %s %s got %d without a signature from %s, ran at %v", a.what, a.id, a.status, a.node, a.runs))
		}
	}
	return broken
}
