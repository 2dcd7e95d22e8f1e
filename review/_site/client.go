package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// request is one client attempt and its answer.
type request struct {
	id     string
	unsafe bool
	status int // 0: the connection ended without an answer
	sentAt time.Time
	ended  time.Time
}

// clients send requests and record the answers.
type clients struct {
	record *record
	http   *http.Client
	serial atomic.Int64

	mu   sync.Mutex
	sent []*request
}

func newClients(r *record) *clients {
	return &clients{record: r, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// send sends one request to a node. key < 0: none.
func (c *clients) send(g *gateway, method, path string, key int, timeout time.Duration, body []byte) *request {
	r := &request{id: fmt.Sprintf("%016x", c.serial.Add(1)), unsafe: method != http.MethodGet, sentAt: time.Now()}
	c.mu.Lock()
	c.sent = append(c.sent, r)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+path, bytes.NewReader(body))
	if err != nil {
		return r
	}
	message.Host = host
	message.GetBody = nil // the transport must not send it again by itself
	message.Header.Set("Attempt-Id", r.id)
	message.Header.Set("Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if key >= 0 {
		message.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	c.record.add("client sends %s %s %s key %d to %s", r.id, method, path, key, g.name)
	answer, err := c.http.Do(message)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	if err == nil {
		r.status = answer.StatusCode
		c.record.add("client gets %d for %s", r.status, r.id)
	} else {
		c.record.add("client gets no answer for %s: %v", r.id, err)
	}
	r.ended = time.Now()
	return r
}

// stream sends requests at a rate until the context ends, each in its own goroutine.
func stream(ctx context.Context, perSecond float64, send func()) {
	var running sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		running.Go(send)
	}
	running.Wait()
}

// counts returns how many requests had each status.
func (c *clients) counts() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, r := range c.sent {
		counts[r.status]++
	}
	return counts
}
