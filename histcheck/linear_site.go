package histcheck

import (
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/burdockspindle/burdockspindle/history"
)

// publishInput is one publication of a text on a base version.
type publishInput struct {
	base   uint64
	digest string
}

// publishOutput is what its publisher was told.
type publishOutput struct {
	accepted bool
	unknown  bool
	version  uint64
	digest   string // read back, for nodes
}

// siteRegister is the model's state: the version in force.
type siteRegister struct {
	version uint64
	digest  string
}

// observation is a node's statement that a version was in force.
type observation struct{ version uint64 }

// LinearizableSite checks that publications behave as compare-and-set on one
// register: each is accepted on the version in force or refused on another one,
// and what came into force at nodes was published. Initial is the version in
// force before the history.
func LinearizableSite(events []history.Event, initial uint64, limit time.Duration) Result {
	var operations []porcupine.Operation
	for _, e := range history.Select[history.SitePublished](events) {
		operations = append(operations, publishOperation(e))
	}
	// A node learns a version some time after it was accepted, so an observation
	// has only an end: the version existed before the node had it.
	for _, e := range history.Select[history.SiteInForce](events) {
		if e.Version <= initial {
			continue
		}
		operations = append(operations, porcupine.Operation{
			Input:  observation{e.Version},
			Output: publishOutput{digest: e.Digest},
			Call:   0,
			Return: int64(e.At),
		})
	}
	return search(siteModel(initial), operations, limit)
}

func publishOperation(e history.SitePublished) porcupine.Operation {
	returned := int64(e.At)
	if e.Unknown {
		returned = never
	}
	return porcupine.Operation{
		Input:  publishInput{base: e.Base, digest: e.Digest},
		Output: publishOutput{accepted: e.Accepted, unknown: e.Unknown, version: e.Version},
		Call:   int64(e.Began),
		Return: returned,
	}
}

func siteModel(initial uint64) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return siteRegister{version: initial} },
		Step: func(state, input, output any) (bool, any) {
			current, result := state.(siteRegister), output.(publishOutput)
			switch in := input.(type) {
			case observation:
				seen := siteRegister{version: in.version, digest: result.digest}
				return seen == current, current
			case publishInput:
				return publishStep(current, in, result)
			}
			return false, current
		},
	}
}

func publishStep(current siteRegister, in publishInput, result publishOutput) (bool, any) {
	next := siteRegister{version: in.base + 1, digest: in.digest}
	matches := in.base == current.version
	switch {
	case result.unknown && matches:
		return true, next
	case result.unknown:
		return true, current
	case result.accepted:
		return matches && result.version == next.version, next
	}
	return !matches, current
}
