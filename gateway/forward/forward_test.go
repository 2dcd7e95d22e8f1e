package forward_test

import (
	"encoding/base64"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/forward"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

func TestMessagesAreDecodedAsTheyWereEncoded(t *testing.T) {
	g := gomega.NewWithT(t)
	request := forward.Request{Node: "n", Boot: "b", ToBoot: "c", Method: "GET", Host: "h", Target: "/a?b=c%20\u00fc", Caller: "10.0.0.1:5", ObjectiveMs: -3, Sends: 1, Tried: nil, MayWait: true}
	decoded, err := forward.DecodeRequest(forward.Encode(request))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(request))
	answer := forward.Answer{Outcome: forward.NotRun, Reason: "no server", Sends: 2, Unreachable: true}
	decodedAnswer, err := forward.DecodeAnswer(forward.Encode(answer))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decodedAnswer).To(gomega.Equal(answer))
}

// Guards against requests that nodes of the previous release forward being refused, and against bytes for first attempts.
func TestWaitIsOptional(t *testing.T) {
	g := gomega.NewWithT(t)
	older := base64.StdEncoding.EncodeToString([]byte(`{"node":"n","boot":"b","toBoot":"c","method":"GET","target":"/"}`))
	decoded, err := forward.DecodeRequest(older)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded.WaitedMs).To(gomega.BeZero())
	text, err := base64.StdEncoding.DecodeString(forward.Encode(decoded))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(text)).NotTo(gomega.ContainSubstring("waited"))
	decoded.WaitedMs = 250
	again, err := forward.DecodeRequest(forward.Encode(decoded))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.Equal(decoded))
}

func FuzzMalformedMessagesAreRefused(f *testing.F) {
	f.Add("")
	f.Add("e30=")
	f.Add(forward.Encode(forward.Answer{Outcome: forward.Answered}))
	f.Fuzz(func(t *testing.T, value string) {
		if request, err := forward.DecodeRequest(value); err == nil && (request.Boot == "" || request.Target == "") {
			t.Errorf("accepted %q", value)
		}
		if answer, err := forward.DecodeAnswer(value); err == nil && answer.Outcome == "" {
			t.Errorf("accepted %q", value)
		}
	})
}

func membersOf(zones ...string) []view.Member {
	var list []view.Member
	for i, zone := range zones {
		name := strconv.Itoa(i)
		list = append(list, view.Member{Node: name, Boot: name, Zone: zone, Address: "a:" + name, Capacity: 0.3})
	}
	return list
}

func TestNodesOfTheOwnZoneArePreferredUntilTheyHaveMoreRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	members := membersOf("a", "a", "b")
	p := forward.NewPeers()
	counts := map[string]int{}
	for range 40 {
		peer, found := p.Pick(members[0], members, forward.Destination{Service: "s"}, nil, time.Now())
		g.Expect(found).To(gomega.BeTrue())
		p.Begin(peer.Boot)
		counts[peer.Boot]++
	}
	g.Expect(counts["0"]).To(gomega.BeZero(), "the node itself")
	g.Expect(counts["1"]).To(gomega.BeNumerically(">", counts["2"]))
	g.Expect(counts["2"]).To(gomega.BeNumerically(">", 5))
	for range counts["1"] {
		p.End("1")
	}
	peer, _ := p.Pick(members[0], members, forward.Destination{Service: "s"}, nil, time.Now())
	g.Expect(peer.Boot).To(gomega.Equal("1"))
}

func TestPausedAndTriedNodesAreNotChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	members := membersOf("a", "a", "a", "b")
	now := time.Now()
	p := forward.NewPeers()
	p.Pause("1", forward.Destination{Service: "s"}, now.Add(time.Second), now)
	p.Pause("2", forward.Destination{}, now.Add(time.Second), now)
	peer, found := p.Pick(members[0], members, forward.Destination{Service: "s"}, nil, now)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(peer.Boot).To(gomega.Equal("3"))
	_, found = p.Pick(members[0], members, forward.Destination{Service: "s"}, []string{"3"}, now)
	g.Expect(found).To(gomega.BeFalse())
	peer, _ = p.Pick(members[0], members, forward.Destination{Service: "t"}, []string{"3"}, now)
	g.Expect(peer.Boot).To(gomega.Equal("1"))
	_, found = p.Pick(members[0], members, forward.Destination{Service: "s"}, []string{"3"}, now.Add(time.Second))
	g.Expect(found).To(gomega.BeTrue(), "the pauses have ended")
}

func TestNodeThatReachesTheServiceIsPreferred(t *testing.T) {
	g := gomega.NewWithT(t)
	members := membersOf("a", "a", "a", "b")
	now := time.Now()
	to := forward.Destination{Service: "s", Server: "x"}
	p := forward.NewPeers()
	p.RecordPartitioned("1", "s", "3", now)
	peer, found := p.Pick(members[0], members, to, []string{"1"}, now)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(peer.Boot).To(gomega.Equal("3"), "named by the partitioned node")
	_, found = p.Pick(members[0], members, forward.Destination{Service: "s", Server: "y"}, []string{"2", "3"}, now)
	g.Expect(found).To(gomega.BeFalse(), "the partitioned node is paused for all owners")
	g.Expect(p.Alternative("s", now)).To(gomega.BeEmpty(), "a report is not passed on")
	p.RecordServed("3", "s", now)
	g.Expect(p.Alternative("s", now)).To(gomega.Equal("3"))
	g.Expect(p.Alternative("t", now)).To(gomega.BeEmpty())
	p.RecordPartitioned("3", "s", "1", now)
	g.Expect(p.Alternative("s", now)).To(gomega.BeEmpty(), "it is partitioned now")
	peer, _ = p.Pick(members[0], members, to, nil, now)
	g.Expect(peer.Boot).To(gomega.Equal("2"), "a paused node is not chosen, although another names it")
}
