package engine

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/pick"
	"github.com/burdockspindle/burdockspindle/topo"
)

type held = map[topo.ShardID][]string

// TestOutagesOfRangesAndKeys applies grants and revocations and checks the
// counted key-seconds.
func TestOutagesOfRangesAndKeys(t *testing.T) {
	whole := topo.ShardID{Service: "quotes", Index: 3}
	single := topo.ShardID{Service: "quotes", Index: 3, Key: "hot"}
	type step struct {
		server topo.ServerID
		grants held
	}
	cases := []struct {
		name  string
		steps []step // one per second, then one more second
		out   func(keys int) time.Duration
	}{
		{"a range moves", []step{{"a", held{whole: nil}}, {"a", nil}, {"b", held{whole: nil}}},
			func(keys int) time.Duration { return time.Duration(keys) * time.Second }},
		{"a range is never taken up", []step{{"a", held{whole: nil}}, {"a", nil}},
			func(keys int) time.Duration { return time.Duration(keys) * time.Second }},
		{"a key is split out", []step{{"a", held{whole: nil}}, {"a", held{whole: {"hot"}}}, {"b", held{single: nil}}},
			func(int) time.Duration { return time.Second }},
		{"a key is merged", []step{{"a", held{whole: {"hot"}, single: nil}}, {"a", held{whole: nil}}},
			func(int) time.Duration { return 0 }},
		{"a key comes back with its range", []step{
			{"a", held{whole: nil}}, {"a", held{whole: {"hot"}}}, {"a", nil}, {"b", held{whole: nil}},
		}, func(keys int) time.Duration { return time.Duration(keys)*time.Second + 2*time.Second }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			deployment, _ := model.Preset(model.Urbion)
			s := newSite(&Options{
				Deployment: deployment, Policy: balance.Push{}, Picker: func() pick.Picker { return pick.Random{} },
			})
			s.clock.now = epoch.Add(setupTime)
			for _, step := range c.steps {
				s.availability.replace(step.server, step.grants)
				s.clock.now = s.clock.now.Add(time.Second)
			}
			s.availability.finish()
			g.Expect(s.availability.keyTime).To(gomega.Equal(c.out(s.availability.keys[whole])))
		})
	}
}
