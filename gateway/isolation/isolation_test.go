package isolation_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/isolation"
)

func TestZoneIsIsolatedIfNeitherTheStoreNorAnotherZoneIsReached(t *testing.T) {
	const old = isolation.MaxContactAge + time.Millisecond
	for name, row := range map[string]struct {
		sample isolation.Sample
		want   bool
	}{
		"recent contact":             {isolation.Sample{Contact: 0, HasContact: true}, false},
		"the store is down":          {isolation.Sample{Contact: old, HasContact: true, Probed: 3, Reached: 3}, false},
		"one of three is reached":    {isolation.Sample{Contact: old, HasContact: true, Probed: 3, Reached: 1}, false},
		"neither":                    {isolation.Sample{Contact: old, HasContact: true, Probed: 3}, true},
		"there is no other zone":     {isolation.Sample{Contact: old, HasContact: true}, false},
		"no contact since startup":   {isolation.Sample{Probed: 3}, false},
		"the contact is not too old": {isolation.Sample{Contact: isolation.MaxContactAge, HasContact: true, Probed: 3}, false},
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(row.sample.IsIsolated()).To(gomega.Equal(row.want))
		})
	}
}

// One zone of three is cut off for six seconds. The load balancer removes a zone after two
// checks, a second apart, that find no ready node in it. Keys of the lost zone's owners
// move to the other zones after three seconds. Callers of all zones request all keys
// equally.
func TestCallersOfAnIsolatedZoneAreServedByOtherZones(t *testing.T) {
	g := gomega.NewWithT(t)
	stay := servedDuringCut(func(isolation.Sample) bool { return false })
	leave := servedDuringCut(isolation.Sample.IsIsolated)
	g.Expect(leave).To(gomega.BeNumerically(">", stay+0.05), "share served: %v, with nodes always ready: %v", leave, stay)
}

// servedDuringCut returns the share of the requests that is served from the beginning of a
// cut until two seconds after its end, by nodes whose readiness depends on cutOff.
func servedDuringCut(cutOff func(isolation.Sample) bool) float64 {
	const (
		step          = 50 * time.Millisecond
		length        = 6 * time.Second
		after         = 2 * time.Second
		holds         = 3 * time.Second
		zones         = 3.0
		checkInterval = time.Second // of the load balancer
	)
	served, asked := 0.0, 0.0
	isReady, failedChecks := true, 0
	for at := time.Duration(0); at < length+after; at += step {
		isCut := at < length
		if at%isolation.SampleInterval == 0 {
			sample := isolation.Sample{HasContact: true, Probed: isolation.MaxProbes, Reached: isolation.MaxProbes}
			if isCut {
				sample.Contact, sample.Reached = at, 0
			}
			isReady = !cutOff(sample)
		}
		if at%checkInterval == 0 {
			failedChecks++
			if isReady {
				failedChecks = 0
			}
		}
		asked++
		served += servedNow(isCut, at >= holds, failedChecks >= 2, zones)
	}
	return served / asked
}

// servedNow returns the share of the requests that can be served at one time.
func servedNow(isCut, haveKeysMoved, isZoneOut bool, zones float64) float64 {
	if !isCut {
		return 1
	}
	elsewhere := 1 - 1/zones // share of the keys that the other zones can serve
	if haveKeysMoved {
		elsewhere = 1
	}
	if isZoneOut {
		return elsewhere
	}
	within := 1 / zones // share of the keys that the isolated zone serves
	if haveKeysMoved {
		within = 0
	}
	return (1-1/zones)*elsewhere + 1/zones*within
}
