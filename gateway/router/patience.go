package router

import "time"

// patience learns how long the callers of a route usually wait. One that states less has
// waited already: it comes back after a refusal, and its objective counts from when it
// came first. It answers keys that are wanted for more than their owner can run: half of
// the callers come back then, too late to be answered in time, and take the places of
// those who could be.
type patience struct {
	stated [mostPatiences]statedPatience
	notes  int
}

// statedPatience is a time that callers stated, and how often.
type statedPatience struct {
	wait  time.Duration
	count int
}

const (
	// mostPatiences is how many times are kept. Those that many callers state stay, and
	// times left after a refusal, which are all different, give way to each other.
	mostPatiences = 4
	// patienceNotes is after how many notes their counts are halved, so that a changed
	// route is learnt.
	patienceNotes = 64
	// usualCount is how often a time must have been stated lately to be the usual one.
	usualCount = 8
)

// note takes what a caller states.
func (p *patience) note(wait time.Duration) {
	p.notes++
	if p.notes%patienceNotes == 0 {
		for i := range p.stated {
			p.stated[i].count /= 2
		}
	}
	rarest := 0
	for i, s := range p.stated {
		if s.count > 0 && s.wait == wait {
			p.stated[i].count++
			return
		}
		if s.count < p.stated[rarest].count {
			rarest = i
		}
	}
	if p.stated[rarest].count == 0 {
		p.stated[rarest] = statedPatience{wait: wait, count: 1}
		return
	}
	p.stated[rarest].count--
}

// waited returns how long a caller has waited already who states a time; 0 if that is not
// known.
func (p *patience) waited(wait time.Duration) time.Duration {
	usual := statedPatience{}
	for _, s := range p.stated {
		if s.count > usual.count {
			usual = s
		}
	}
	if usual.count < usualCount {
		return 0
	}
	return max(usual.wait-wait, 0)
}
