package demo

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// dialTimeout bounds one connection attempt of a caller.
const dialTimeout = 500 * time.Millisecond

// balancer is the platform's balancer in front of the entry VMs, as callers see
// it: a connection goes to an entry node of the caller's zone, and to the next
// one when it cannot be made.
type balancer struct {
	zones [][]string // front-end addresses by zone
	next  atomic.Uint64
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
	return order
}
