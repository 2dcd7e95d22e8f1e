package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Checks of the owner of a key.
const (
	// ownerCheckTimeout is the timeout of a check of an owner on a new connection: a lost packet
	// takes longer.
	ownerCheckTimeout = 150 * time.Millisecond
	// busyOwnerPause is the mean pause before a busy owner is checked again, in mean service times.
	// It is random, since many nodes may wait for the same owner.
	busyOwnerPause = 1.0
)

// ownerState is what a check says of the owner of a key.
type ownerState int

const (
	ownerReady ownerState = iota
	ownerBusy
	ownerSilent
	ownerCold // and another node counts its requests
	ownerLate // it would hardly answer before the deadline
	ownerResting
)

// mayCheckOwner reports whether the owner of the request's key is checked before the request is sent, if
// checks fit the service.
func (x *exchange) mayCheckOwner() bool {
	return x.keyed && x.route.Kind == site.AtMostOnce && x.healthPath() != ""
}

// checkOwner checks whether the owner of the request's key can take it now. A request that is sent
// to an owner that is silent or full is lost if it must not run twice; a check is not. An owner that
// takes the connection of a check and does not answer is busy: a server may serve a new connection
// only when one of its slots is free.
func (x *exchange) checkOwner(ctx context.Context, owner site.Server) ownerState {
	if !x.mayCheckOwner() || !x.service.checksLoads() {
		return ownerReady
	}
	result := x.checkLoadOfOwner(ctx, owner, x.healthPath())
	switch {
	case result.health.Rest > 0 || isResting(result.err):
		x.trace.note(string(owner.ID) + " asks for a rest")
		return ownerResting
	case result.isConnected():
		x.trace.note(string(owner.ID) + " is too busy for a check")
		return ownerBusy
	case !result.isAnswered() && ctx.Err() == nil:
		x.trace.note(string(owner.ID) + " takes no connection")
		return ownerSilent
	case result.health.Load == nil:
		return ownerReady
	case x.service.counters(owner.ID) > 0 && !x.isCounterOf(owner):
		return ownerCold
	case pool.HasLongQueue(*result.health.Load):
		x.trace.note(string(owner.ID) + " has a long queue, load " + loadText(*result.health.Load))
		return ownerBusy
	}
	if expected := x.service.expectedTime(x.route.Name, owner.ID); minTimeShare*float64(expected) > float64(time.Until(x.deadline)) {
		x.trace.note(string(owner.ID) + " would answer after " + milliseconds(expected))
		return ownerLate
	}
	return ownerReady
}

// checkLoadOfOwner checks the load of an owner: on an idle connection, and if it has no answer there,
// since the connection may be stalled, on a new one.
func (x *exchange) checkLoadOfOwner(ctx context.Context, owner site.Server, path string) loadCheck {
	if x.router.client.HasIdle(owner) {
		if result := x.checkLoad(ctx, owner, path); result.isAnswered() {
			return result
		}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCheckTimeout)
	defer cancel()
	loadChecks.Add(1)
	health, err := x.router.client.CheckHealthAnew(ctx, owner, path)
	result := loadCheck{owner.ID, health, err}
	x.service.recordCheck(result, false)
	return result
}

// admitToOwner checks the owner at which the request has a slot, and reports whether it may be sent.
// Otherwise the slot is released, and the request is refused or, without a refusal, asks again.
func (x *exchange) admitToOwner(ctx context.Context, owner site.Server) (isAdmitted bool, problem *refusal) {
	switch x.checkOwner(ctx, owner) {
	case ownerSilent:
		x.service.releaseSlot(owner, pool.Outcome{Failed: true, NotReached: true})
		x.unreached = append(x.unreached, owner.ID)
		return false, nil
	case ownerResting:
		x.service.releaseSlot(owner, pool.Outcome{Abandoned: true})
		return false, nil
	case ownerCold:
		x.service.releaseSlot(owner, pool.Outcome{Abandoned: true})
		return false, x.countedRefusal(owner.ID)
	case ownerLate:
		x.service.releaseSlot(owner, pool.Outcome{Abandoned: true})
		return false, &refusal{status: http.StatusServiceUnavailable, reason: string(pool.WaitTooLong), retryAfter: x.meanTime()}
	case ownerBusy:
		x.service.releaseSlot(owner, pool.Outcome{Abandoned: true})
		return false, x.awaitBusyOwner(ctx)
	}
	return true, nil
}

// awaitBusyOwner pauses before a busy owner is checked again. It returns a refusal if the request could
// not be answered in time after that.
func (x *exchange) awaitBusyOwner(ctx context.Context) *refusal {
	mean := x.meanTime()
	pause := time.Duration((0.5 + rand.Float64()) * busyOwnerPause * float64(mean))
	if time.Until(x.deadline) < pause+mean {
		return &refusal{status: http.StatusServiceUnavailable, reason: "queue of the key's owner is full", retryAfter: mean, isOverloaded: true}
	}
	clock.Wait(ctx, pause)
	x.noteWait(pause)
	return nil
}

func (s *service) expectedTime(route string, id site.ServerID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.ExpectedTimeOf(route, id, time.Now())
}

func (s *service) checksLoads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.ChecksLoads(time.Now())
}
