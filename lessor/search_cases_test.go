package lessor

import (
	"flag"
	"testing"
	"time"
)

// dropped are the searches that must find two owners once a rule is gone.
var dropped = []struct {
	name   string
	bounds bounds
}{
	{"modes", bounds{ttl: unit, limit: 2 * unit, assigns: 1, askers: "l", rules: rules{noModes: true}}},
	{"both", bounds{ttl: unit, limit: 2 * unit, claimers: "c", claims: 1, askers: "l",
		prefix: []string{"l asks for mode disconnected"}, rules: rules{noBoth: true}}},
	{"tail", bounds{ttl: 2 * unit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log"}, rules: rules{noTail: true}}},
	{"hold", bounds{ttl: unit, limit: 3 * unit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log"}, rules: rules{noHold: true}}},
	{"report", bounds{ttl: unit, limit: 2 * unit, claimers: "c", claims: 1, askers: "l",
		prefix: []string{"time passes", "l asks for mode disconnected"}, rules: rules{noReport: true}}},
	{"known run", bounds{ttl: unit, limit: 4 * unit, claimers: "c", claims: 1, assigns: 1, restarts: 1, askers: "l",
		prefix: []string{"l asks for mode disconnected", "c claims", "c reads the log",
			"s acknowledges c", "t acknowledges c", "time passes", "l sends a heartbeat", "t restarts"},
		rules: rules{noKnownRun: true}}},
	{"seen term", bounds{ttl: unit, limit: 4 * unit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log", "c asks whether l stopped", "c asks whether b stopped"},
		rules:  rules{noSeenTerm: true}}},
	{"settled word", bounds{ttl: 2 * unit, limit: 6 * unit, claimers: "bc", claims: 2, assigns: 1,
		prefix: []string{"c claims", "c reads the log", "b reads the log", "b claims", "b reads the log",
			"c reads the log", "b asks whether c stopped"},
		rules: rules{noSettledWord: true}}},
	{"standby's word", bounds{ttl: unit, limit: 5 * unit, claimers: "c", claims: 1, assigns: 1, askers: "l",
		prefix: []string{"l asks for mode disconnected", "b goes on off the log", "s acknowledges b",
			"c claims", "c reads the log", "l reads the log", "c asks whether l stopped"},
		rules: rules{noStandbyWord: true}}},
	{"every run known", bounds{ttl: unit, limit: 2 * unit, claimers: "c", claims: 1, assigns: 1, askers: "l", formerMost: 1,
		prefix: []string{"l asks for mode disconnected", "b goes on off the log", "s acknowledges b",
			"c claims", "c reads the log", "l reads the log", "c asks whether l stopped"},
		rules: rules{noComplete: true}}},
	{"connected mode", bounds{ttl: unit, limit: 5 * unit, claimers: "c", claims: 1, assigns: 1, askers: "l",
		prefix: []string{"l asks for mode disconnected", "b goes on off the log", "s acknowledges b",
			"c claims", "c reads the log", "l reads the log", "c asks whether l stopped"},
		rules: rules{noConnected: true}}},
	{"left mode", bounds{ttl: unit, limit: 5 * unit, claimers: "c", claims: 1, assigns: 1, askers: "l",
		prefix: []string{"l asks for mode disconnected", "l asks for mode connected, request lost", "b goes on off the log",
			"s acknowledges b", "c claims", "c reads the log", "l reads the log", "c asks whether l stopped"},
		rules: rules{noLeft: true}}},
	{"promise", bounds{ttl: 2 * unit, limit: 5 * unit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log", "b reads the log", "c asks whether b stopped"},
		rules:  rules{noPromise: true}}},
	{"one silent run", bounds{ttl: unit, limit: 3 * unit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log"}, rules: rules{noLone: true}}},
	{"supersession", bounds{ttl: unit, limit: 2 * unit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"time passes", "l sends a heartbeat"}, rules: rules{noSupersession: true}}},
	{"tail after words", bounds{ttl: 2 * unit, limit: 5 * unit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log"}, rules: rules{noTail: true}}},
	{"activation", bounds{ttl: unit, limit: 4 * unit, claimers: "c", claims: 1, assigns: 1,
		rules: rules{noActivation: true}}},
}

func TestSearchFindsWhatEachRulePrevents(t *testing.T) {
	for _, d := range dropped {
		t.Run(d.name, func(t *testing.T) {
			began := time.Now()
			o := search(d.bounds, 2_000_000)
			t.Logf("%v in %v", o, time.Since(began))
			if o.path == nil {
				t.Fatal("no two owners found")
			}
		})
	}
}

// whole are the searches with every rule in force. Within the bounds of one that
// is complete, no two owners can come about. The long ones take minutes and run
// with -search.long.
var whole = []struct {
	name   string
	long   bool
	bounds bounds
}{
	{"disconnected pair", false, bounds{ttl: unit, limit: 2 * unit, askers: "l"}},
	{"standby claims", false, bounds{ttl: unit, limit: 2 * unit, claimers: "b", claims: 1}},
	{"other claims", false, bounds{ttl: unit, limit: 2 * unit, claimers: "c", claims: 1}},
	{"former lessors' words", true, bounds{ttl: unit, limit: 2 * unit, claimers: "c", claims: 1, assigns: 1, askers: "l",
		prefix: []string{"l asks for mode disconnected", "c claims", "c reads the log", "l reads the log",
			"c asks whether l stopped"}}},
	{"words after an unsettled term", false, bounds{ttl: unit, limit: 2 * unit, claimers: "bc", claims: 2, assigns: 1,
		prefix: []string{"c claims", "c reads the log", "b reads the log", "b claims", "b reads the log",
			"c reads the log", "b asks whether c stopped"}}},
	{"words of some former runs", false, bounds{ttl: unit, limit: 2 * unit, claimers: "c", claims: 1, assigns: 1, askers: "l",
		formerMost: 1, prefix: []string{"l asks for mode disconnected", "b goes on off the log", "s acknowledges b",
			"c claims", "c reads the log", "l reads the log", "c asks whether l stopped"}}},
	{"delayed words", true, bounds{ttl: unit, limit: 3 * unit, claimers: "c", claims: 1, assigns: 1, askers: "l", delayed: true,
		prefix: []string{"l asks for mode disconnected", "c claims", "c reads the log"}}},
	{"words, restarts", true, bounds{ttl: unit, limit: 3 * unit, claimers: "c", claims: 1, assigns: 1, askers: "l",
		restarts: 1, nodeRestarts: 1, prefix: []string{"l asks for mode disconnected", "c claims", "c reads the log"}}},
	{"a wait that goes on", false, bounds{ttl: unit, limit: 2 * unit, claimers: "bc", claims: 2, assigns: 1, askers: "l",
		prefix: []string{"l asks for mode disconnected", "b claims", "c reads the log", "time passes", "c claims",
			"c reads the log", "b reads the log", "c asks whether b stopped"}}},
	{"silent lessor", false, bounds{ttl: unit, limit: 3 * unit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log", "b reads the log", "c asks whether b stopped"}}},
	{"silent standby lessor", false, bounds{ttl: unit, limit: 3 * unit, claimers: "c", claims: 1, assigns: 1,
		prefix: []string{"c claims", "c reads the log", "l reads the log", "c asks whether l stopped"}}},
	{"silent standby lessor that left disconnected mode", false, bounds{ttl: unit, limit: 2 * unit, claimers: "c", claims: 1,
		assigns: 1, askers: "l", prefix: []string{"l asks for mode disconnected", "l asks for mode connected", "c claims",
			"c reads the log", "l reads the log", "c asks whether l stopped"}}},
	{"silent lessor, disconnected pair", true, bounds{ttl: unit, limit: 3 * unit, claimers: "c", claims: 1, assigns: 1,
		askers: "l", prefix: []string{"c claims", "c reads the log"}}},
	{"disconnected pair, assignment", true, bounds{ttl: unit, limit: 2 * unit, askers: "l", assigns: 1}},
	{"standby claims, disconnected pair", true,
		bounds{ttl: unit, limit: 2 * unit, claimers: "b", claims: 1, askers: "l"}},
	{"other claims, disconnected pair", true,
		bounds{ttl: unit, limit: 2 * unit, claimers: "c", claims: 1, askers: "l"}},
	{"lessor claims, disconnected pair", true,
		bounds{ttl: unit, limit: 2 * unit, claimers: "l", claims: 1, askers: "l"}},
	{"longer leases", true, bounds{ttl: 2 * unit, limit: 3 * unit, claimers: "bc", claims: 1}},
	{"two claims", true, bounds{ttl: unit, limit: 2 * unit, claimers: "bc", claims: 2}},
	{"claim and assignment", true, bounds{ttl: unit, limit: 2 * unit, claimers: "bc", claims: 1, assigns: 1}},
}

func TestSearchWhole(t *testing.T) {
	for _, d := range whole {
		if d.long && !*searchLong {
			continue
		}
		t.Run(d.name, func(t *testing.T) {
			began := time.Now()
			o := search(d.bounds, *searchMost)
			t.Logf("%v in %v", o, time.Since(began))
			if o.path != nil {
				t.Fail()
			}
			if !o.complete && !d.long {
				t.Error("not complete")
			}
		})
	}
}

var (
	searchMost = flag.Int("search.most", 3_000_000, "states after which a search is cut off")
	searchLong = flag.Bool("search.long", false, "also run the searches that take minutes")
)
