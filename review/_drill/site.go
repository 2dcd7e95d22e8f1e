package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/burdockspindle/burdockspindle/platform/standin"
)

const (
	gatewayProgram = "target/burdockspindle"
	operatorTopic  = "keyed.op"
	serversTopic   = "keyed.servers"
	// heartbeat is the interval of the targets' entries in the store.
	heartbeat = 870 * time.Millisecond
	// restartDelay is how long the platform waits before it starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	readyWait    = 20 * time.Second
	// memoryMB is the memory of each machine, in units of 2^20 bytes.
	memoryMB = 284
)

// drillSite is a small deployment: gateway nodes as processes, and stand-ins of the store and the targets.
type drillSite struct {
	dir    string
	record *record
	store  *standin.Store
	nodes  []*node
	limits map[string]any

	mu      sync.Mutex
	targets []*target
	version int
	faulty  time.Time // until when faulty targets garble answers
}

// node is a gateway node. It is started again whenever its process ends.
type node struct {
	name, zone                  string
	front, ready, peer, metrics string
	settings                    string
	site                        *drillSite

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	closed  bool
	starts  int
}

// Ports of nodes, below those that the kernel gives to outgoing connections.
const (
	firstPort = 12000
	portCount = 18000
	portTries = 100
)

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	var err error
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address, nil
		}
	}
	return "", err
}

// newSite starts the store and creates the nodes, one in each of the zones a, b and c by turns.
func newSite(dir string, log *record, nodes int) (*drillSite, error) {
	s := &drillSite{dir: dir, record: log, store: standin.NewStore()}
	s.limits = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 64 << 20, "header-timeout-s": 3, "idle-timeout-s": 15}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, s.store) }()
	for i := range nodes {
		zone := string(rune('a' + i%3))
		n := &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, site: s}
		for _, address := range []*string{&n.front, &n.ready, &n.peer, &n.metrics} {
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		n.settings = filepath.Join(dir, n.name+".jsonc")
		s.nodes = append(s.nodes, n)
	}
	var seeds []string
	for _, n := range s.nodes[:min(3, len(s.nodes))] {
		seeds = append(seeds, n.peer)
	}
	for _, n := range s.nodes {
		if err := n.writeSettings(seeds, listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// writeSettings writes what the template of the deploy file gives for a front machine of a small deployment.
func (n *node) writeSettings(seeds []string, store string) error {
	settings := map[string]any{
		"node": n.name, "zone": n.zone, "region": "r",
		"regions":   map[string]string{"a": "r", "b": "r", "c": "r"},
		"listen":    map[string]string{"front": n.front, "ready": n.ready, "peer": n.peer, "metrics": n.metrics},
		"seeds":     seeds,
		"driver":    map[string]any{"name": "platform", "options": map[string]string{"address": store}},
		"retries":   map[string]any{"ratio": 0.2, "slack": 64, "window": "10s"},
		"memoryMB":  memoryMB,
		"resources": map[string]any{"processorShare": 0.32, "cores": 1, "linkMbps": 1000},
		"timing":    map[string]string{"grace": "6s", "holdMax": "10s", "drain": "2s"},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, text, 0o600)
}

// publish writes a configuration as the operator does.
func (s *drillSite) publish(listeners, clusters []map[string]any) error {
	s.version += 3
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", s.version), "limits": s.limits, "listeners": listeners, "clusters": clusters,
	})
	if err != nil {
		return err
	}
	s.store.Put(operatorTopic, "config", text)
	s.record.add("operator", "configuration %08x acknowledged", s.version)
	return nil
}

// route returns a rule of the configuration.
func route(name, kind, prefix, service string, timeout, objective float64) map[string]any {
	return map[string]any{
		"name": name, "kind": kind, "slo-s": objective, "priority": 1,
		"match":  map[string]any{"path-prefix": prefix},
		"action": map[string]any{"service": service, "timeout-s": timeout, "max-attempts": 2},
	}
}

// start starts the nodes and waits until all are ready.
func (s *drillSite) start() error {
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range s.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(s.nodes) {
			return nil
		}
	}
	return fmt.Errorf("not all nodes are ready after %v", readyWait)
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get("http://" + n.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// start starts the node's process, with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.process != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(n.site.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(gatewayProgram, "gateway", "--settings", n.settings)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	n.starts++
	n.process, n.ended = command.Process, make(chan struct{})
	go n.await(command, n.ended)
	return nil
}

// await waits for the end of a process, and starts the node again.
func (n *node) await(command *exec.Cmd, ended chan struct{}) {
	_ = command.Wait() // the record tells why it ended
	n.site.record.add(n.name, "process ended: %v", command.ProcessState)
	n.mu.Lock()
	n.process = nil
	closed := n.closed
	n.mu.Unlock()
	close(ended)
	if closed {
		return
	}
	time.Sleep(restartDelay)
	if err := n.start(); err != nil {
		n.site.record.add(n.name, "not started again: %v", err)
	}
}

// stop ends all processes.
func (s *drillSite) stop() {
	for _, n := range s.nodes {
		n.mu.Lock()
		n.closed = true
		process, ended := n.process, n.ended
		n.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Signal(syscall.SIGCONT)
		_ = process.Kill()
		<-ended
	}
}

func (s *drillSite) faultyUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faulty
}

// garble lets faulty targets garble answers for a time.
func (s *drillSite) garble(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = time.Now().Add(length)
}
