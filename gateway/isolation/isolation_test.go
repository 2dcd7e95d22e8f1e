package isolation_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/isolation"
)

func TestAZoneIsCutOffIfNeitherTheStoreNorAnotherZoneIsReached(t *testing.T) {
	const old = isolation.LookAfter + time.Millisecond
	for name, row := range map[string]struct {
		look isolation.Look
		want bool
	}{
		"all is well":                 {isolation.Look{Contact: 0, Known: true}, false},
		"the store is down":           {isolation.Look{Contact: old, Known: true, Tried: 3, Reached: 3}, false},
		"one of three is reached":     {isolation.Look{Contact: old, Known: true, Tried: 3, Reached: 1}, false},
		"neither":                     {isolation.Look{Contact: old, Known: true, Tried: 3}, true},
		"there is no other zone":      {isolation.Look{Contact: old, Known: true}, false},
		"it starts":                   {isolation.Look{Tried: 3}, false},
		"the contact has just failed": {isolation.Look{Contact: isolation.LookAfter, Known: true, Tried: 3}, false},
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(row.look.CutOff()).To(gomega.Equal(row.want))
		})
	}
}

// One zone of three is cut off for six seconds; the balancer takes a zone out after two looks
// a second apart that find no node of it ready. Keys of the lost zone's owners go to the others
// after three seconds. Callers of all zones want all keys alike.
func TestCallersOfAZoneThatIsCutOffAreServedByOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	stay := servedInACut(func(isolation.Look) bool { return false })
	leave := servedInACut(isolation.Look.CutOff)
	g.Expect(leave).To(gomega.BeNumerically(">", stay+0.05), "of all requests: %v, ready all the time %v", leave, stay)
}

// servedInACut returns the share of the requests that is served from the beginning of a cut
// until two seconds after its end, by nodes that decide so whether they are ready.
func servedInACut(cutOff func(isolation.Look) bool) float64 {
	const (
		step    = 50 * time.Millisecond
		length  = 6 * time.Second
		after   = 2 * time.Second
		holds   = 3 * time.Second
		zones   = 3.0
		lookGap = time.Second // of the balancer
	)
	served, asked := 0.0, 0.0
	isReady, misses := true, 0
	for at := time.Duration(0); at < length+after; at += step {
		isCut := at < length
		if at%isolation.LookEvery == 0 {
			look := isolation.Look{Known: true, Tried: isolation.Tries, Reached: isolation.Tries}
			if isCut {
				look.Contact, look.Reached = at, 0
			}
			isReady = !cutOff(look)
		}
		if at%lookGap == 0 {
			misses++
			if isReady {
				misses = 0
			}
		}
		asked++
		served += servedNow(isCut, at >= holds, misses >= 2, zones)
	}
	return served / asked
}

// servedNow returns the share of the requests that can be served at a moment.
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
	within := 1 / zones // share of the keys that the zone that is cut off serves
	if haveKeysMoved {
		within = 0
	}
	return (1-1/zones)*elsewhere + 1/zones*within
}
