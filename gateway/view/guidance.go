package view

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// Guidance contains how mixed services are served, as set by the lessor of the table at an offset.
type Guidance struct {
	Offset     store.Offset
	Serial     uint64    // grows with each change and repetition
	ReceivedAt time.Time // by this node's clock
	guidance.Guidance
}

// IsMixedAt reports whether the site is mixed by guidance that is still valid.
func (g Guidance) IsMixedAt(now time.Time) bool {
	return g.IsMixed() && now.Sub(g.ReceivedAt) < guidance.Validity
}

// Version returns the version of the guidance.
func (g Guidance) Version() Version { return Version{Offset: g.Offset, Serial: g.Serial} }

// MergeGuidance applies the guidance of a lessor unless newer guidance is known.
func (s *State) MergeGuidance(next Guidance) bool {
	return s.update(func(v *View) bool {
		if !next.Version().IsAfter(v.Guidance.Version()) {
			return false
		}
		next.ReceivedAt = time.Now()
		v.Guidance = next
		return true
	})
}
