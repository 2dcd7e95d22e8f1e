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

// publishOutput is the result reported to the publisher.
type publishOutput struct {
	accepted bool
	unknown  bool
	version  uint64
	digest   string // read back, for nodes
}

// versionRegister is the state of the model: the version in force.
type versionRegister struct {
	version uint64
	digest  string
}

// observation is a node's report that a version was in force.
type observation struct{ version uint64 }

// LinearizableSite checks that publications behave as compare-and-set operations on one
// register: each is accepted if its base is the version in force and refused otherwise,
// and every version in force at a node was published. Initial is the version in
// force before the history begins.
func LinearizableSite(events []history.Event, initial uint64, limit time.Duration) Result {
	var operations []porcupine.Operation
	for _, e := range history.Select[history.SitePublished](events) {
		operations = append(operations, publishOperation(e))
	}
	// A node applies a version some time after its acceptance, so an observation
	// has only an end: the version existed before the node applied it.
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
		Init: func() any { return versionRegister{version: initial} },
		Step: func(state, input, output any) (bool, any) {
			current, result := state.(versionRegister), output.(publishOutput)
			switch in := input.(type) {
			case observation:
				seen := versionRegister{version: in.version, digest: result.digest}
				return seen == current, current
			case publishInput:
				return publishStep(current, in, result)
			}
			return false, current
		},
	}
}

func publishStep(current versionRegister, in publishInput, result publishOutput) (bool, any) {
	next := versionRegister{version: in.base + 1, digest: in.digest}
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
