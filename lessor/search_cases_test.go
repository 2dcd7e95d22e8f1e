package lessor

import (
	"flag"
	"testing"
	"time"
)

// droppedRules lists the searches that must find two owners once a rule is
// disabled.
var droppedRules = []struct {
	name   string
	bounds bounds
}{
	{"modes", bounds{ttl: timeUnit, limit: 2 * timeUnit, assigns: 1, modeRequesters: "l", rules: rules{noModes: true}}},
	{"both", bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "c", claims: 1, modeRequesters: "l",
		prefix: []string{"l asks for mode disconnected"}, rules: rules{noBothServers: true}}},
	{"tail", bounds{ttl: 2 * timeUnit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log"}, rules: rules{noLastLease: true}}},
	{"hold", bounds{ttl: timeUnit, limit: 3 * timeUnit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log"}, rules: rules{noDisconnectedWait: true}}},
	{"report", bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "c", claims: 1, modeRequesters: "l",
		prefix: []string{"time passes", "l asks for mode disconnected"}, rules: rules{noReport: true}}},
	{"known boot", bounds{ttl: timeUnit, limit: 4 * timeUnit, claimers: "c", claims: 1, assigns: 1, restarts: 1, modeRequesters: "l",
		prefix: []string{"l asks for mode disconnected", "c claims", "c reads the log",
			"s acknowledges c", "t acknowledges c", "time passes", "l sends a heartbeat", "t restarts"},
		rules: rules{noKnownBoot: true}}},
	{"seen term", bounds{ttl: timeUnit, limit: 4 * timeUnit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log", "c asks whether l stopped", "c asks whether b stopped"},
		rules:  rules{noSeenTerm: true}}},
	{"settled reply", bounds{ttl: 2 * timeUnit, limit: 6 * timeUnit, claimers: "bc", claims: 2, assigns: 1,
		prefix: []string{"c claims", "c reads the log", "b reads the log", "b claims", "b reads the log",
			"c reads the log", "b asks whether c stopped"},
		rules: rules{noSettledReply: true}}},
	{"standby's reply", bounds{ttl: timeUnit, limit: 5 * timeUnit, claimers: "c", claims: 1, assigns: 1, modeRequesters: "l",
		prefix: []string{"l asks for mode disconnected", "b takes over without the log", "s acknowledges b",
			"c claims", "c reads the log", "l reads the log", "c asks whether l stopped"},
		rules: rules{noStandbyReply: true}}},
	{"every incarnation known", bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "c", claims: 1, assigns: 1, modeRequesters: "l", maxFormer: 1,
		prefix: []string{"l asks for mode disconnected", "b takes over without the log", "s acknowledges b",
			"c claims", "c reads the log", "l reads the log", "c asks whether l stopped"},
		rules: rules{noComplete: true}}},
	{"connected mode", bounds{ttl: timeUnit, limit: 5 * timeUnit, claimers: "c", claims: 1, assigns: 1, modeRequesters: "l",
		prefix: []string{"l asks for mode disconnected", "b takes over without the log", "s acknowledges b",
			"c claims", "c reads the log", "l reads the log", "c asks whether l stopped"},
		rules: rules{noConnected: true}}},
	{"acknowledged return to connected mode", bounds{ttl: timeUnit, limit: 5 * timeUnit, claimers: "c", claims: 1, assigns: 1, modeRequesters: "l",
		prefix: []string{"l asks for mode disconnected", "l asks for mode connected, request lost", "b takes over without the log",
			"s acknowledges b", "c claims", "c reads the log", "l reads the log", "c asks whether l stopped"},
		rules: rules{noLeaveAck: true}}},
	{"promise", bounds{ttl: 2 * timeUnit, limit: 5 * timeUnit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log", "b reads the log", "c asks whether b stopped"},
		rules:  rules{noPromise: true}}},
	{"one missing reply", bounds{ttl: timeUnit, limit: 3 * timeUnit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log"}, rules: rules{noSingleMissing: true}}},
	{"supersession", bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"time passes", "l sends a heartbeat"}, rules: rules{noSupersession: true}}},
	{"last lease after replies", bounds{ttl: 2 * timeUnit, limit: 5 * timeUnit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log"}, rules: rules{noLastLease: true}}},
	{"activation", bounds{ttl: timeUnit, limit: 4 * timeUnit, claimers: "c", claims: 1, assigns: 1,
		rules: rules{noActivation: true}}},
}

func TestSearchFindsTwoOwnersWithoutEachRule(t *testing.T) {
	for _, d := range droppedRules {
		t.Run(d.name, func(t *testing.T) {
			began := time.Now()
			o := search(d.bounds, 2_000_000)
			t.Logf("%v in %v", o, time.Since(began))
			if o.path == nil {
				t.Fatal("the search found no two owners")
			}
		})
	}
}

// fullSearches lists the searches with every rule enabled. If one is complete, two
// owners are impossible within its bounds. The long ones take minutes and run with
// -search.long.
var fullSearches = []struct {
	name   string
	long   bool
	bounds bounds
}{
	{"disconnected pair", false, bounds{ttl: timeUnit, limit: 2 * timeUnit, modeRequesters: "l"}},
	{"standby claims", false, bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "b", claims: 1}},
	{"other claims", false, bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "c", claims: 1}},
	{"previous lessors' replies", true, bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "c", claims: 1, assigns: 1, modeRequesters: "l",
		prefix: []string{"l asks for mode disconnected", "c claims", "c reads the log", "l reads the log",
			"c asks whether l stopped"}}},
	{"replies after an unsettled term", false, bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "bc", claims: 2, assigns: 1,
		prefix: []string{"c claims", "c reads the log", "b reads the log", "b claims", "b reads the log",
			"c reads the log", "b asks whether c stopped"}}},
	{"replies of some previous incarnations", false, bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "c", claims: 1, assigns: 1, modeRequesters: "l",
		maxFormer: 1, prefix: []string{"l asks for mode disconnected", "b takes over without the log", "s acknowledges b",
			"c claims", "c reads the log", "l reads the log", "c asks whether l stopped"}}},
	{"delayed replies", true, bounds{ttl: timeUnit, limit: 3 * timeUnit, claimers: "c", claims: 1, assigns: 1, modeRequesters: "l", delayed: true,
		prefix: []string{"l asks for mode disconnected", "c claims", "c reads the log"}}},
	{"replies, restarts", true, bounds{ttl: timeUnit, limit: 3 * timeUnit, claimers: "c", claims: 1, assigns: 1, modeRequesters: "l",
		restarts: 1, nodeRestarts: 1, prefix: []string{"l asks for mode disconnected", "c claims", "c reads the log"}}},
	{"a continued wait", false, bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "bc", claims: 2, assigns: 1, modeRequesters: "l",
		prefix: []string{"l asks for mode disconnected", "b claims", "c reads the log", "time passes", "c claims",
			"c reads the log", "b reads the log", "c asks whether b stopped"}}},
	{"unresponsive lessor", false, bounds{ttl: timeUnit, limit: 3 * timeUnit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log", "b reads the log", "c asks whether b stopped"}}},
	{"unresponsive standby lessor", false, bounds{ttl: timeUnit, limit: 3 * timeUnit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log", "l reads the log", "c asks whether l stopped"}}},
	{"unresponsive standby lessor that left disconnected mode", false, bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "c", claims: 1,
		assigns: 1, modeRequesters: "l", prefix: []string{"l asks for mode disconnected", "l asks for mode connected", "c claims",
			"c reads the log", "l reads the log", "c asks whether l stopped"}}},
	{"unresponsive lessor, disconnected pair", true, bounds{ttl: timeUnit, limit: 3 * timeUnit, claimers: "c", claims: 1, assigns: 1,
		modeRequesters: "l", prefix: []string{"c claims", "c reads the log"}}},
	{"disconnected pair, assignment", true, bounds{ttl: timeUnit, limit: 2 * timeUnit, modeRequesters: "l", assigns: 1}},
	{"standby claims, disconnected pair", true,
		bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "b", claims: 1, modeRequesters: "l"}},
	{"other claims, disconnected pair", true,
		bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "c", claims: 1, modeRequesters: "l"}},
	{"lessor claims, disconnected pair", true,
		bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "l", claims: 1, modeRequesters: "l"}},
	{"longer leases", true, bounds{ttl: 2 * timeUnit, limit: 3 * timeUnit, claimers: "bc", claims: 1}},
	{"two claims", true, bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "bc", claims: 2}},
	{"claim and assignment", true, bounds{ttl: timeUnit, limit: 2 * timeUnit, claimers: "bc", claims: 1, assigns: 1}},
}

func TestSearchWithAllRules(t *testing.T) {
	for _, d := range fullSearches {
		if d.long && !*searchLong {
			continue
		}
		t.Run(d.name, func(t *testing.T) {
			began := time.Now()
			o := search(d.bounds, *maxSearchStates)
			t.Logf("%v in %v", o, time.Since(began))
			if o.path != nil {
				t.Fail()
			}
			if !o.complete && !d.long {
				t.Error("the search did not complete")
			}
		})
	}
}

var (
	maxSearchStates = flag.Int("search.most", 3_000_000, "maximum number of states in a search")
	searchLong      = flag.Bool("search.long", false, "also run the searches that take minutes")
)
