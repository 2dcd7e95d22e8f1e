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
	dialTimeout = 500 * time.Millisecond // bounds one connection attempt of a caller
	checkEvery  = 100 * time.Millisecond // between two health checks of an entry node
	checkLimit  = time.Second            // of one health check
)

// balancer is the platform's balancer in front of the entry VMs, as callers see
// it: a connection goes to an entry node of the caller's zone, and to the next
// one when it cannot be made. An entry node whose health check refuses gets new
// connections only when all others fail.
type balancer struct {
	zones [][]string // front-end addresses by zone
	next  atomic.Uint64

	mu       sync.Mutex
	refusing map[string]bool // by address
}

// check asks all entry nodes for their health until ctx ends.
func (b *balancer) check(ctx context.Context, wait *sync.WaitGroup) {
	for _, zone := range b.zones {
		for _, address := range zone {
			wait.Go(func() { b.checkOne(ctx, address) })
		}
	}
}

// checkOne follows one entry node. Only a clear refusal takes it out: no answer
// is left for the next connection attempt to find.
func (b *balancer) checkOne(ctx context.Context, address string) {
	client := &http.Client{Timeout: checkLimit}
	defer client.CloseIdleConnections()
	for {
		if response, err := client.Get("http://" + address + callerapi.PathHealth); err == nil {
			_ = response.Body.Close()
			b.note(address, response.StatusCode == http.StatusServiceUnavailable)
		}
		if !clock.Wait(ctx, checkEvery) {
			return
		}
	}
}

func (b *balancer) note(address string, refuses bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refusing == nil {
		b.refusing = map[string]bool{}
	}
	b.refusing[address] = refuses
}

// dialer returns the dial function of the callers of a zone. Other zones'
// entry nodes come last.
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

// toOnly returns the dial function of a caller that insists on one entry node.
func toOnly(address string) dialFunc {
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
	return b.refusingLast(order)
}

func (b *balancer) refusingLast(order []string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	sorted := make([]string, 0, len(order))
	var last []string
	for _, address := range order {
		if b.refusing[address] {
			last = append(last, address)
			continue
		}
		sorted = append(sorted, address)
	}
	return append(sorted, last...)
}
