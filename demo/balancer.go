package demo

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/clock"
)

const (
	dialTimeout         = 500 * time.Millisecond // of one connection attempt of a caller
	healthCheckInterval = 100 * time.Millisecond // between two health checks of an entry node
	healthCheckTimeout  = time.Second            // of one health check
)

// balancer simulates the platform's load balancer in front of the entry VMs for callers:
// a connection goes to an entry node of the caller's zone, or to the next
// node if it cannot be established. An entry node that fails its health check gets new
// connections only if all others fail.
type balancer struct {
	zones [][]string // front-end addresses by zone
	next  atomic.Uint64

	mu        sync.Mutex
	unhealthy map[string]bool // by address
}

// checkAll checks the health of all entry nodes until ctx ends.
func (b *balancer) checkAll(ctx context.Context, wait *sync.WaitGroup) {
	for _, zone := range b.zones {
		for _, address := range zone {
			wait.Go(func() { b.checkNode(ctx, address) })
		}
	}
}

// checkNode checks one entry node periodically. Only status 503 marks it unhealthy; a node
// that does not answer is detected by the next connection attempt.
func (b *balancer) checkNode(ctx context.Context, address string) {
	client := &http.Client{Timeout: healthCheckTimeout}
	defer client.CloseIdleConnections()
	for {
		if response, err := client.Get("http://" + address + callerapi.PathHealth); err == nil {
			_ = response.Body.Close()
			b.setUnhealthy(address, response.StatusCode == http.StatusServiceUnavailable)
		}
		if !clock.Wait(ctx, healthCheckInterval) {
			return
		}
	}
}

func (b *balancer) setUnhealthy(address string, refuses bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unhealthy == nil {
		b.unhealthy = map[string]bool{}
	}
	b.unhealthy[address] = refuses
}

// dialer returns the dial function of the callers of a zone. The other zones'
// entry nodes are tried last.
func (b *balancer) dialer(zone int) dialFunc {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: dialTimeout}
		var lastErr error
		for _, address := range b.order(zone) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err == nil {
				return conn, nil
			}
			lastErr = err
		}
		return nil, lastErr
	}
}

// dialOnly returns a dial function that always connects to the given entry node.
func dialOnly(address string) dialFunc {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: dialTimeout}
		return dialer.DialContext(ctx, network, address)
	}
}

func (b *balancer) order(zone int) []string {
	var order []string
	for i := range b.zones {
		addresses := b.zones[(zone+i)%len(b.zones)]
		first := int(b.next.Add(1) % uint64(len(addresses)))
		order = append(order, addresses[first:]...)
		order = append(order, addresses[:first]...)
	}
	return b.unhealthyLast(order)
}

func (b *balancer) unhealthyLast(order []string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	sorted := make([]string, 0, len(order))
	var last []string
	for _, address := range order {
		if b.unhealthy[address] {
			last = append(last, address)
			continue
		}
		sorted = append(sorted, address)
	}
	return append(sorted, last...)
}
