// Command site plays one case of the review: gateway nodes as processes, and stand-ins of the users' store,
// targets and clients in this process, on loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// timeLimit ends a case that takes too long.
const timeLimit = 115 * time.Second

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// site is what a case plays on.
type site struct {
	record   *record
	platform *platform
	gateways []*gateway
	targets  []*target
	clients  *clients
	program  string
	dir      string
	trouble  bool
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/burdockspindle", "the project's program")
	path := flag.String("record", "record.txt", "file for the record")
	keep := flag.String("keep", "", "folder for the logs of the nodes; empty: a temporary one")
	flag.Parse()
	os.Exit(play(*name, *program, *path, *keep))
}

func play(name, program, path, keep string) int {
	cases := map[string]func(*site) (int, error){"release": playRelease, "twice": playTwice, "memory": playMemory}
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return failed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return failed
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		reason := "took longer than " + timeLimit.String()
		select {
		case s := <-interrupted:
			reason = "was interrupted: " + s.String()
		case <-time.After(timeLimit):
		}
		r.add("the case %s", reason)
		r.close()
		if keep == "" {
			_ = os.RemoveAll(dir)
		}
		fmt.Println("the case", reason)
		os.Exit(failed) // the nodes end with this process, see gateway.start
	}()
	absolute, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s := &site{record: r, program: absolute, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if s.platform, err = newPlatform(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s.clients = newClients(r)
	defer func() {
		for _, g := range s.gateways {
			g.stop()
		}
	}()
	code, err := run(s)
	if err != nil {
		fmt.Println("the case could not run:", err)
		r.add("the case could not run: %v", err)
		return failed
	}
	return code
}

// verdict writes the outcome to the record and to standard output.
func (s *site) verdict(violations []string, rule string) int {
	for _, v := range violations {
		s.record.add("BROKEN %s: %s", rule, v)
	}
	extras, answers := 0, 0
	for _, t := range s.targets {
		extras += t.extras
		answers += t.answers
	}
	text := fmt.Sprintf("trouble %v: %s broken %d times; answers to clients by status (0: none) %v; targets sent %d answers and %d copies", s.trouble, rule, len(violations), s.clients.counts(), answers, extras)
	s.record.add("%s", text)
	fmt.Println(text)
	if len(violations) > 0 {
		fmt.Println(violations[0])
		return broken
	}
	return held
}

// begin starts the targets and the nodes, and waits until the nodes are ready and all keys are served.
func (s *site) begin(nodes, memoryMB int) error {
	s.platform.configure()
	for _, t := range s.targets {
		t.record, t.store = s.record, s.platform
		if err := t.start(); err != nil {
			return err
		}
	}
	if err := s.startNodes(nodes, memoryMB); err != nil {
		return err
	}
	for _, g := range s.gateways {
		if !g.awaitReady(20 * time.Second) {
			return fmt.Errorf("node %s is not ready after 20 s", g.name)
		}
	}
	return nil
}

const (
	// startTries is how often the nodes are started with other ports, if another program has taken one of them.
	startTries = 5
	// startPause is the time after which a node has its listeners or has ended.
	startPause = 400 * time.Millisecond
)

// startNodes starts the nodes.
func (s *site) startNodes(nodes, memoryMB int) error {
	for range startTries {
		var err error
		if s.gateways, err = newGateways(s.dir, s.platform.address, nodes, memoryMB); err != nil {
			return err
		}
		for _, g := range s.gateways {
			if err := g.start(s.program); err != nil {
				return err
			}
		}
		time.Sleep(startPause)
		if !slices.ContainsFunc(s.gateways, (*gateway).hasEnded) {
			return nil
		}
		s.record.add("a node has ended at its start; all are started again with other ports")
		for _, g := range s.gateways {
			g.stop()
		}
	}
	return fmt.Errorf("nodes end at their start")
}

// awaitKeys waits until requests for keys all over the key space are served.
func (s *site) awaitKeys() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		served := 0
		for key := 0; key < 65536; key += 8192 {
			if s.clients.send(s.gateways[0], "GET", checkPrefix+"warm", key, 2*time.Second, nil).status == 200 {
				served++
			}
		}
		if served == 8 {
			return nil
		}
	}
	return fmt.Errorf("keys are not served after 20 s")
}
