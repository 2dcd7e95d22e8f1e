package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	uploadBytes  = 24 << 20
	smallUpload  = 60_000
	uploaders    = 8 // clients of each node that upload at the same time
	uploadPause  = 2 * time.Second
	uploadsFor   = 40 * time.Second
	memoryCheck  = 10 * time.Millisecond
	lostAllowed  = 3 // LOST: "more than three times"
	endsOfFault  = 3 // Fault: "three times in the day"
	nodesOfFault = 2 // Fault: "two at least"
)

// runUploads lets a few clients of each node upload large bodies at the same time, within the limits of the
// configuration, beside other clients with small requests on kept connections.
func runUploads(s *drillSite, trouble bool) (broken []string, err error) {
	clusters := []map[string]any{{"name": "photos", "health-path": "/healthz"}, {"name": "maps", "health-path": "/healthz"}}
	rules := []map[string]any{route("photo", "upload", "/photo/", "photos", 8, 4), route("map", "safe", "/map/", "maps", 1, 0.3)}
	if err := s.publish([]map[string]any{{"host": "site.example", "rules": rules}}, clusters); err != nil {
		return nil, err
	}
	for i := range 6 {
		zone := string(rune('a' + i%3))
		if _, err := s.addTarget("photos", zone, 6, 24, 130*time.Millisecond, false); err != nil {
			return nil, err
		}
		if _, err := s.addTarget("maps", zone, 6, 24, 110*time.Millisecond, false); err != nil {
			return nil, err
		}
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	size := uploadBytes
	if !trouble {
		size = smallUpload
	}
	body := make([]byte, size)
	end := time.Now().Add(uploadsFor)
	var clients sync.WaitGroup
	for _, n := range s.nodes {
		clients.Go(func() { watchMemory(n, end) })
		for range uploaders {
			clients.Go(func() {
				c := newCaller(n, s.record, true)
				for time.Now().Before(end) {
					c.send(message{what: "upload", method: "POST", host: "site.example", path: "/photo/1", key: -1, unsafe: true, body: body, timeout: 8 * time.Second})
					time.Sleep(uploadPause)
				}
			})
		}
		for range 10 {
			clients.Go(func() {
				c := newCaller(n, s.record, true)
				for time.Now().Before(end) {
					c.send(message{what: "lookup", method: "GET", host: "site.example", path: "/map/1", key: -1, timeout: 2 * time.Second})
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	return judgeUploads(s), nil
}

// watchMemory ends the node's process when it exceeds the memory of its machine, as the platform does.
func watchMemory(n *node, end time.Time) {
	limit := int64(n.site.memoryMB) << 20
	highest := int64(0)
	for time.Now().Before(end) {
		time.Sleep(memoryCheck)
		used := n.memory()
		highest = max(highest, used)
		if used <= limit {
			continue
		}
		n.site.record.add("platform", "%s uses %d MB of %d: killed", n.name, used>>20, limit>>20)
		n.signal(syscall.SIGKILL)
		n.mu.Lock()
		n.overs++
		ended := n.ended
		n.mu.Unlock()
		<-ended
	}
	n.site.record.add("platform", "%s used %d MB at most", n.name, highest>>20)
}

// judgeUploads applies LOST and Fault.
func judgeUploads(s *drillSite) (broken []string) {
	var ends []string
	faulty := 0
	for _, n := range s.nodes {
		lost := 0
		for _, a := range s.record.all() {
			if a.node == n.name && a.kept && len(a.arrivals) > 0 && a.failure == failedConnEnded {
				lost++
			}
		}
		if lost > lostAllowed {
			broken = append(broken, fmt.Sprintf("LOST: %s passed %d requests of kept connections on to a target and closed the connection without an answer", n.name, lost))
		}
		ends = append(ends, fmt.Sprintf("%s %d", n.name, n.overs))
		if n.overs >= endsOfFault {
			faulty++
		}
	}
	if faulty >= nodesOfFault && 10*faulty >= len(s.nodes) {
		broken = append(broken, "Fault: processes exceeded the memory of their machines: "+strings.Join(ends, ", "))
	}
	return broken
}
