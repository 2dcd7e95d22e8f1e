package upstream

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// ObserveLimits sets the function that receives what the answers of servers say of their limits. It must
// be called before the client is used, and the function must not block.
func (c *Client) ObserveLimits(observe func(server site.ServerID, limit site.NamedLimit)) {
	c.observeLimit = observe
}

// noteLimit reports the limit that an answer names. An answer without one says that there is none only if
// the server has run the request: rejections and answers to calls of the node itself may leave it out.
func (c *Client) noteLimit(server site.ServerID, answer *Answer, hasRun bool) {
	if c.observeLimit == nil || c.headers.Limit == "" {
		return
	}
	texts := answer.Header.Values(c.headers.Limit)
	if len(texts) == 0 {
		if hasRun {
			c.observeLimit(server, site.NamedLimit{At: time.Now()})
		}
		return
	}
	rate, isValid := parseLimit(texts)
	if !isValid {
		invalidLimitCount.Add(1)
		c.invalidLimits.note(eventInvalidLimit, server, strings.Join(texts, ", "))
		return
	}
	c.observeLimit(server, site.NamedLimit{Rate: rate, IsNamed: true, At: time.Now()})
}

// parseLimit parses the values of a limit header: one finite number of requests a second.
func parseLimit(texts []string) (rate float64, isValid bool) {
	if len(texts) != 1 {
		return 0, false
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(texts[0]), 64)
	return rate, err == nil && rate >= 0 && !math.IsInf(rate, 0) && !math.IsNaN(rate)
}
