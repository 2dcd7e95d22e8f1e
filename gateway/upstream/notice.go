package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/traffic"
)

// ObserveNotices sets the function that receives what the answers of servers say of the servers themselves.
// It is called as soon as the head of an answer has been read, for answers to requests, health checks and
// control calls, whatever their status and whether or not their bodies arrive. It must be set before the client
// is used, and must not block.
func (c *Client) ObserveNotices(observe func(server site.ServerID, notice site.Notice)) {
	c.observeNotice = observe
}

// Observe reports a notice that reached this node with an answer of another node.
func (c *Client) Observe(server site.ServerID, notice site.Notice) {
	if c.observeNotice != nil {
		c.observeNotice(server, notice)
	}
}

// readNotice decodes what the head of an answer says of its server, and reports it. isRequest is false for
// health checks and control calls.
func (c *Client) readNotice(server site.ServerID, response *http.Response, isRequest bool) site.Notice {
	notice := site.Notice{Load: c.loadOf(server, response.Header)}
	if response.StatusCode == http.StatusMisdirectedRequest {
		return notice // it may be the answer of another server that has this one's address
	}
	notice.Limit = c.limitOf(server, response.Header, isRequest && response.Header.Get(c.headers.NotRun) == "")
	notice.IsLeaving = c.isLeaving(server, response.Header)
	if c.peer == traffic.Servers {
		notice.Rest = c.noteRest(server, response)
	}
	c.Observe(server, notice)
	return notice
}

// loadOf returns the load that an answer reports, or nil.
func (c *Client) loadOf(server site.ServerID, header http.Header) *site.Load {
	report := header.Get(c.headers.Load)
	load, isValid := c.headers.ParseLoad(report)
	if isValid {
		return &load
	}
	if report != "" {
		invalidLoadCount.Add(1)
		c.invalidLoads.note(eventInvalidLoad, server, report)
	}
	return nil
}

// limitOf returns the limit that an answer names. An answer without one says that there is none only if the
// server has run the request: rejections and answers to calls of the node itself may leave it out.
func (c *Client) limitOf(server site.ServerID, header http.Header, hasRun bool) *site.NamedLimit {
	texts := header.Values(c.headers.Limit)
	switch {
	case len(texts) == 0 && hasRun:
		return &site.NamedLimit{At: time.Now()}
	case len(texts) == 0:
		return nil
	}
	rate, isValid := parseLimit(texts)
	if !isValid {
		invalidLimitCount.Add(1)
		c.invalidLimits.note(eventInvalidLimit, server, strings.Join(texts, ", "))
		return nil
	}
	return &site.NamedLimit{Rate: rate, IsNamed: true, At: time.Now()}
}

// parseLimit parses the values of a limit header: one finite number of requests a second.
func parseLimit(texts []string) (rate float64, isValid bool) {
	if len(texts) != 1 {
		return 0, false
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(texts[0]), 64)
	return rate, err == nil && rate >= 0 && !math.IsInf(rate, 0) && !math.IsNaN(rate)
}

// isLeaving reports whether an answer says that its server leaves.
func (c *Client) isLeaving(server site.ServerID, header http.Header) bool {
	texts := header.Values(c.headers.Leaving)
	switch {
	case len(texts) == 0:
		return false
	case len(texts) == 1 && texts[0] == leavingValue:
		return true
	}
	invalidLeavingCount.Add(1)
	c.invalidLeaving.note(eventInvalidLeaving, server, strings.Join(texts, ", "))
	return false
}

// leavingValue is the only value of the leaving header.
const leavingValue = "1"
