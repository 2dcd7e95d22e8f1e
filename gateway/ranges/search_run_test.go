package ranges

import (
	"flag"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// maxStates ends a search before its states exceed 2 GB.
const maxStates = 30_000_000

// longSearch enables searches with larger bounds, which take minutes and several GB.
var longSearch = flag.Bool("long-search", false, "search with larger bounds")

// searchCase is a search of all histories within bounds.
type searchCase struct {
	name   string
	bounds searchBounds
}

func TestNoHistoryHasTwoOwners(t *testing.T) {
	t.Parallel()
	cases := []searchCase{{"a restart and a planned move", searchBounds{restarts: 1, moves: 1}}}
	if *longSearch {
		cases = append(cases,
			searchCase{"a claim", searchBounds{claims: 1}},
			searchCase{"two restarts and a planned move", searchBounds{restarts: 2, moves: 1}},
			searchCase{"three restarts", searchBounds{restarts: 3}},
			searchCase{"a claim and a planned move", searchBounds{claims: 1, moves: 1}},
			searchCase{"a restart and a claim", searchBounds{restarts: 1, claims: 1}},
			searchCase{"a resignation and a claim", searchBounds{claims: 1, resigns: 1}},
		)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			startedAt := time.Now()
			fault, states, complete := search(c.bounds, rules{}, maxStates)
			t.Logf("%d states in %v", states, time.Since(startedAt))
			g.Expect(fault).To(gomega.BeEmpty())
			g.Expect(complete).To(gomega.BeTrue())
		})
	}
}

func TestEveryRuleIsNeededInSomeHistory(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		dropped rules
		bounds  searchBounds
	}{
		"the previous lessor's grant period is not waited for":    {rules{noPreviousWait: true}, searchBounds{claims: 1}},
		"an unresponsive owner's holds are not waited for":        {rules{noExpiryWait: true}, searchBounds{}},
		"a range is released although a grant had no response":    {rules{noUncertainCheck: true}, searchBounds{moves: 1}},
		"a lessor grants although its lease was not confirmed":    {rules{noLeaseCheck: true}, searchBounds{claims: 1}},
		"calls that were reset are treated as gone":               {rules{noLinkQueue: true}, searchBounds{}},
		"a previous lessor does not report its grants":            {rules{noHandOffReport: true}, searchBounds{claims: 1}},
		"a later incarnation proves that the owner holds nothing": {rules{noNameMatch: true}, searchBounds{restarts: 1}},
		"grants to an earlier incarnation are forgotten":          {rules{noCarriedHolds: true}, searchBounds{restarts: 2, moves: 1}},
		"a higher fence ends the wait for uncertain grants":       {rules{noUncertainWait: true}, searchBounds{restarts: 1, moves: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			fault, states, _ := search(c.bounds, c.dropped, maxStates)
			t.Logf("%d states: %s", states, fault)
			gomega.NewWithT(t).Expect(fault).NotTo(gomega.BeEmpty())
		})
	}
}
