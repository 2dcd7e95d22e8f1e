package histcheck

import (
	"time"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Unavailability is how long the keys of a history went unanswered.
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
// isProbe is true. A key is unavailable from the moment its first failed probe
// was sent until the next probe that was sent after it and answered. A span
// that is open when the history ends counts to the key's last event.
func Unavailable(events []history.Event, isProbe func(history.CallerSent) bool) Unavailability {
	keys := map[serviceKey]*keySpans{}
	probes := map[attemptName]history.CallerSent{}
	for _, event := range events {
		switch e := event.(type) {
		case history.CallerSent:
			if isProbe(e) {
				probes[attemptName{e.CallerRequest, e.Attempt}] = e
			}
		case history.CallerAnswered:
			sent, is := probes[attemptName{e.CallerRequest, e.Attempt}]
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

type attemptName struct {
	request string
	attempt int
}

// keySpans follows one key. Answers come in order of their arrival.
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
