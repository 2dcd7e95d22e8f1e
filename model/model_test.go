package model_test

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/siteconfig"
)

func TestPresetsHaveTheSizesOfTheDeployments(t *testing.T) {
	cases := []struct {
		name        string
		targets     []int
		concurrency int
		connections int
		keyed       []bool
	}{
		{model.Kavango, []int{8, 6, 10}, 4, 100, []bool{false, false, true}},
		{model.Urbion, []int{15, 10, 12}, 6, 130, []bool{true, false, false}},
	}
	for _, c := range cases {
		g := gomega.NewWithT(t)
		deployment, exists := model.Preset(c.name)
		g.Expect(exists).To(gomega.BeTrue())
		g.Expect(deployment.Zones).To(gomega.HaveLen(3))
		for i, service := range deployment.Services {
			g.Expect(service.Targets).To(gomega.Equal(c.targets[i]))
			g.Expect(service.Concurrency).To(gomega.Equal(c.concurrency))
			g.Expect(service.Connections).To(gomega.Equal(c.connections))
			g.Expect(service.Keyed).To(gomega.Equal(c.keyed[i]))
		}
		_, err := siteconfig.FromProto(siteconfig.ToProto(deployment.Site()))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	_, exists := model.Preset("nowhere")
	gomega.NewWithT(t).Expect(exists).To(gomega.BeFalse())
}

func traffic() model.Traffic {
	return model.Traffic{
		Duration:         20 * time.Second,
		Phases:           []model.Phase{{From: 10 * time.Second, Factor: 2}},
		MoveHotKeysEvery: 5 * time.Second,
		MovedRanks:       9,
	}
}

func TestArrivalsDependOnTheSeedAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	deployment, _ := model.Preset(model.Urbion)
	first := model.Arrivals(deployment, traffic(), 7)
	g.Expect(reflect.DeepEqual(first, model.Arrivals(deployment, traffic(), 7))).To(gomega.BeTrue())
	g.Expect(reflect.DeepEqual(first, model.Arrivals(deployment, traffic(), 8))).To(gomega.BeFalse())
}

func TestArrivalsFollowRatesAndWork(t *testing.T) {
	g := gomega.NewWithT(t)
	deployment, _ := model.Preset(model.Kavango)
	service := deployment.Services[2]
	counts := [2]float64{}
	work := 0.0
	last := time.Duration(0)
	for _, arrival := range model.Arrivals(deployment, traffic(), 7) {
		g.Expect(arrival.At).To(gomega.BeNumerically(">=", last))
		last = arrival.At
		if arrival.Service != 2 {
			continue
		}
		counts[arrival.At/(10*time.Second)]++
		work += arrival.Work
	}
	g.Expect(counts[0]).To(gomega.BeNumerically("~", 10*service.Rate(), 0.1*10*service.Rate()))
	g.Expect(counts[1]).To(gomega.BeNumerically("~", 20*service.Rate(), 0.1*20*service.Rate()))
	mean := work / (counts[0] + counts[1])
	g.Expect(mean).To(gomega.BeNumerically("~", service.MeanBusy.Seconds(), 0.05*service.MeanBusy.Seconds()))
}

func TestHotKeysMove(t *testing.T) {
	g := gomega.NewWithT(t)
	deployment, _ := model.Preset(model.Urbion)
	hottest := map[int]map[int]int{0: {}, 1: {}}
	for _, arrival := range model.Arrivals(deployment, traffic(), 7) {
		if arrival.Service == 0 && arrival.At < 10*time.Second {
			hottest[int(arrival.At/(5*time.Second))][arrival.Key]++
		}
	}
	g.Expect(most(hottest[0])).NotTo(gomega.Equal(most(hottest[1])))
}

func most(counts map[int]int) int {
	best := -1
	for key, count := range counts {
		if best < 0 || count > counts[best] {
			best = key
		}
	}
	return best
}

func TestPopularityIsZipf(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	law := model.NewPopularity(1000, 1, random)
	counts := map[int]int{}
	for range 100_000 {
		counts[law.Draw(random)]++
	}
	first, tenth := float64(counts[law.Hottest(0)]), float64(counts[law.Hottest(9)])
	g.Expect(first / tenth).To(gomega.BeNumerically("~", 10, 2))
}
