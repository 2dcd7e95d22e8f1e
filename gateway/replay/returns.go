package replay

import "time"

// Returns counts the outcomes of callers by how they retry.
type Returns struct {
	// RefusedTwice counts the callers whom nodes refused at least twice, RefusedTwiceWaiting those of them that wait as
	// told.
	RefusedTwice, RefusedTwiceWaiting int
	// Waiting counts the callers that wait for the stated delay, AtOnce those that retry at once.
	Waiting, WaitingInTime int
	AtOnce, AtOnceInTime   int
}

// waited returns how long a caller has waited since its first attempt, as nodes infer it.
func (r *replay) waited(c caller) time.Duration {
	if r.Guidance == NoneSent {
		return 0
	}
	return r.now.Sub(c.arrived)
}

// countCaller counts a new caller, also by how it retries.
func (r *replay) countCaller(c caller) {
	if !r.isCounted(c) {
		return
	}
	r.result.Asked++
	if c.priority == 0 {
		r.result.Urgent++
	}
	if c.retriesAtOnce {
		r.result.Returns.AtOnce++
	} else {
		r.result.Returns.Waiting++
	}
}

// countRefusal counts a refusal of a node.
func (r *replay) countRefusal(c *caller) {
	r.result.Refused++
	c.refusals++
	if c.refusals != 2 {
		return
	}
	r.result.Returns.RefusedTwice++
	if !c.retriesAtOnce {
		r.result.Returns.RefusedTwiceWaiting++
	}
}

// countInTime counts an answer in time by how its caller retries.
func (r *replay) countInTime(c caller) {
	if c.retriesAtOnce {
		r.result.Returns.AtOnceInTime++
	} else {
		r.result.Returns.WaitingInTime++
	}
}

// returningBurst is a burst of one and a half times the capacity for 4 s at 81 nodes of a mixed site, where three in ten
// callers retry at once. keyed has each request run by the owner of its key, and nodes get shares of busy owners.
func returningBurst(name, description string, keyed bool) Scenario {
	const servers, slots, nodes = 24, 2, 81
	work := 110 * time.Millisecond
	capacity := servers * slots / work.Seconds()
	l := Load{
		Nodes: nodes, Length: 16 * time.Second, Target: 500 * time.Millisecond, CallerTimeout: 3 * time.Second,
		Rate:     Burst(0.6*capacity, 1.5*capacity, 5*time.Second, 9*time.Second),
		Guidance: MixedSent, Keyed: keyed, LowPriorityShare: 0.4, Callers: Callers{Retries: 2, ImmediateShare: 0.3},
	}
	if keyed {
		l.AssumedCapacity = 1
	}
	for i := range servers {
		l.Servers = append(l.Servers, Server{Zone: Zones()[i%3], Slots: slots, Queue: 8, Work: work})
	}
	return Scenario{Name: name, Description: description, Policies: []Policy{Pooled, NoReturnOrder}, Load: l}
}
