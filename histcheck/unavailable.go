package histcheck

import (
	"time"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Unavailability measures for how long the keys of a history were not served.
type Unavailability struct {
	// Longest is the longest span of any key.
	Longest time.Duration
	// Total is the sum of all spans of all keys.
	Total time.Duration
	// Key and Service are those of the longest span.
	Service topo.Service
	Key     string
	// From is when the longest span began.
	From history.Time
}

// Unavailable measures the probes of a history: attempts of callers for which
// isProbe is true. A key is unavailable from the sending of its first failed probe
// until the answer to a probe that was sent after that one. An interval that is
// open when the history ends lasts until the key's last event.
func Unavailable(events []history.Event, isProbe func(history.CallerSent) bool) Unavailability {
	keys := map[serviceKey]*keySpans{}
	probes := map[attemptKey]history.CallerSent{}
	for _, event := range events {
		switch e := event.(type) {
		case history.CallerSent:
			if isProbe(e) {
				probes[attemptKey{e.CallerRequest, e.Attempt}] = e
			}
		case history.CallerAnswered:
			sent, is := probes[attemptKey{e.CallerRequest, e.Attempt}]
			if !is {
				continue
			}
			key := serviceKey{sent.Service, sent.Key}
			if keys[key] == nil {
				keys[key] = &keySpans{}
			}
			keys[key].add(sent.At, e)
		}
	}
	var result Unavailability
	for key, spans := range keys {
		spans.close(spans.last)
		result.Total += spans.total
		if spans.longest > result.Longest {
			result.Longest, result.From = spans.longest, spans.longestFrom
			result.Service, result.Key = key.service, key.key
		}
	}
	return result
}

type attemptKey struct {
	request string
	attempt int
}

// keySpans tracks the unavailability of one key. Answers are added in order of arrival.
type keySpans struct {
	failing     bool
	since       history.Time
	last        history.Time
	longest     time.Duration
	longestFrom history.Time
	total       time.Duration
}

func (k *keySpans) add(sentAt history.Time, answer history.CallerAnswered) {
	k.last = answer.At
	if answer.Outcome != serverapi.OutcomeAnswered {
		if !k.failing || sentAt < k.since {
			k.since = sentAt
		}
		k.failing = true
		return
	}
	if k.failing && sentAt >= k.since {
		k.close(answer.At)
	}
}

// close ends the open span, if any.
func (k *keySpans) close(at history.Time) {
	if !k.failing {
		return
	}
	k.failing = false
	span := at.Sub(k.since)
	k.total += span
	if span > k.longest {
		k.longest, k.longestFrom = span, k.since
	}
}
