package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallMachineMB is the memory of 60 of Kartpara's 87 machines.
	smallMachineMB = 144
	// largestBody is just below max-body-bytes of the configuration, in bytes.
	largestBody = 60 << 20
	// usualBody is the largest body that the sheet names, in bytes.
	usualBody = 7200
	// restartDelay is the pause after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// residentMB returns the memory that a process has now, in units of 2^20 bytes.
func residentMB(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// guard does what the platform does: it kills a process whose memory is over the limit and starts it again. It counts the kills.
func (s *site) guard(ctx context.Context, g *gateway, kills *atomic.Int64) {
	for ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
		used := residentMB(g.process.Process.Pid)
		if used <= smallMachineMB {
			continue
		}
		kills.Add(1)
		s.record.add("node %s has %d MB, over the limit of %d MB: killed", g.name, used, smallMachineMB)
		g.stop()
		time.Sleep(restartDelay)
		if err := g.start(s.program); err != nil {
			return
		}
	}
}

// playMemory: clients send bodies that the configuration allows, one at a time to each node.
func playMemory(s *site) (int, error) {
	s.targets = append(ledgerTargets(), &target{id: "i-desk", service: desk, zone: zones[0], slots: 4, queue: 16, work: 230 * time.Millisecond})
	if err := s.begin(3, smallMachineMB); err != nil {
		return failed, err
	}
	if err := s.awaitKeys(); err != nil {
		return failed, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	body := make([]byte, usualBody)
	if s.trouble {
		body = make([]byte, largestBody)
	}
	kills := make([]atomic.Int64, len(s.gateways))
	var running sync.WaitGroup
	for i, g := range s.gateways {
		running.Go(func() { s.guard(ctx, g, &kills[i]) })
	}
	running.Go(func() {
		stream(ctx, 12, func() {
			s.clients.send(s.gateways[rand.IntN(len(s.gateways))], http.MethodGet, checkPrefix+"card", rand.IntN(65536), 6*time.Second, nil)
		})
	})
	for range 3 {
		for _, g := range s.gateways {
			time.Sleep(3 * time.Second)
			s.record.add("a client sends a body of %d bytes to %s", len(body), g.name)
			s.clients.send(g, http.MethodPut, redeemPrefix+"card", -1, 5*time.Second, body)
		}
	}
	cancel()
	running.Wait()
	var violations []string
	ended := 0
	for i := range kills {
		if kills[i].Load() >= 3 {
			ended++
		}
		s.record.add("node %s was over its memory %d times", s.gateways[i].name, kills[i].Load())
	}
	if ended >= 2 {
		violations = append(violations, fmt.Sprintf("processes on %d of %d machines ended three times, over their memory", ended, len(s.gateways)))
	}
	return s.verdict(violations, "Fault"), nil
}
