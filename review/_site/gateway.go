package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is one gateway node, a process of its own.
type gateway struct {
	name, zone, dir    string
	front, ready, peer string
	metrics            string
	process            *exec.Cmd
	ended              chan struct{}
}

// Ports of nodes lie below those that the system gives to outgoing connections, which could otherwise take a port
// between its choice and the start of its node.
const (
	firstPort = 12000
	portCount = 18000
)

// freeAddresses returns loopback addresses whose ports are free and all differ.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range 100 * count {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		defer func() { _ = listener.Close() }() // at the end, so that no address is chosen twice
		if addresses = append(addresses, address); len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports", count)
}

var zones = []string{"marmara-a", "marmara-b", "marmara-c"}

// newGateways prepares nodes: settings as deploy/settings.jsonc gives them on Kartpara's machines.
func newGateways(dir, store string, count, memoryMB int) ([]*gateway, error) {
	const perNode = 4
	free, err := freeAddresses(perNode * count)
	if err != nil {
		return nil, err
	}
	var gateways []*gateway
	var seeds []string
	for i := range count {
		g := &gateway{name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], dir: dir}
		own := free[perNode*i:]
		g.front, g.ready, g.peer, g.metrics = own[0], own[1], own[2], own[3]
		gateways = append(gateways, g)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", g.peer))
		}
	}
	for _, g := range gateways {
		text := fmt.Sprintf(`{"node": %q, "zone": %q, "region": "tr-marmara",
"regions": {"marmara-a":"tr-marmara","marmara-b":"tr-marmara","marmara-c":"tr-marmara"},
"listen": {"front": %q, "ready": %q, "peer": %q, "metrics": %q},
"seeds": [%s], "driver": {"name": "platform", "options": {"address": %q}},
"retries": {"ratio": 0.2, "slack": 214, "window": "10s"}, "memoryMB": %d,
"resources": {"processorShare": 0.8, "cores": 1, "linkMbps": 200},
"timing": {"grace": "6s", "holdMax": "10s", "drain": "2.5s"}}`,
			g.name, g.zone, g.front, g.ready, g.peer, g.metrics, strings.Join(seeds, ","), store, memoryMB)
		if err := os.WriteFile(g.settings(), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return gateways, nil
}

func (g *gateway) settings() string { return filepath.Join(g.dir, g.name+".jsonc") }

// start starts the process with the command of the deploy file.
func (g *gateway) start(program string) error {
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(program, "gateway", "--settings", g.settings())
	process.Stdout, process.Stderr = log, log
	// The kernel ends the node with this process, however this one ends.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	g.process, g.ended = process, make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		close(ended)
	}(g.process, g.ended)
	return nil
}

// hasEnded reports whether the process has ended by itself.
func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

func (g *gateway) stop() {
	if g.process != nil {
		_ = g.process.Process.Kill()
		<-g.ended
		g.process = nil
	}
}

// awaitReady waits until the node answers the readiness check.
func (g *gateway) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := http.Get("http://" + g.ready + "/-/readyz")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
