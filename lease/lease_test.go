package lease

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

const ms = time.Millisecond

var (
	shard0 = topo.ShardID{Service: "svc", Index: 0}
	hotKey = topo.ShardID{Service: "svc", Index: 0, Key: "hot"}
	fence5 = topo.MakeFence(5, 0)
)

func grantOf(shard topo.ShardID, fence topo.Fence, except ...string) serverapi.Grant {
	return serverapi.Grant{Shard: shard.String(), Fence: fence.String(), Except: except}
}

func renewal(generation uint64, grants ...serverapi.Grant) serverapi.LeaseRequest {
	return serverapi.LeaseRequest{
		Term: "10.0", Lessor: "n1@b", Boot: "boot", Echo: 0, TTLMs: 1000,
		Generation: generation, Full: true, Grants: grants,
	}
}

func problemOf(err error) Problem {
	var refused *NotOwnerError
	if errors.As(err, &refused) {
		return refused.Problem
	}
	return ""
}

func TestTimingStretchesByDriftAndMargin(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := Timing{TTL: time.Second, Margin: 50 * ms, DriftPPM: 200}
	g.Expect(timing.ExpiryWait()).To(gomega.Equal(time.Second + 200*time.Microsecond + 50*ms))
	g.Expect(timing.Validate(250 * ms)).To(gomega.Succeed())
	var wrong *TimingError
	g.Expect(errors.As(timing.Validate(600*ms), &wrong)).To(gomega.BeTrue())
	g.Expect(errors.As(Timing{TTL: -1}.Validate(ms), &wrong)).To(gomega.BeTrue())
}

func TestHolderServesOnlyItsGrantsUnderAnUnexpiredLease(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder("boot")
	g.Expect(h.Lease(0, renewal(1, grantOf(shard0, fence5, "hot"))).Refused).To(gomega.BeEmpty())

	cases := []struct {
		now   time.Duration
		shard topo.ShardID
		fence topo.Fence
		key   string
		want  Problem
	}{
		{999 * ms, shard0, fence5, "k", ""},
		{1000 * ms, shard0, fence5, "k", ProblemExpired},
		{0, topo.ShardID{Service: "svc", Index: 1}, fence5, "k", ProblemNotGranted},
		{0, shard0, topo.MakeFence(4, 0), "k", ProblemOtherFence},
		{0, shard0, topo.MakeFence(6, 0), "k", ProblemOtherFence},
		{0, shard0, fence5, "hot", ProblemExcepted},
		{0, hotKey, fence5, "hot", ProblemNotGranted},
	}
	for _, c := range cases {
		run, err := h.Begin(c.now, c.shard, c.fence, c.key)
		g.Expect(problemOf(err)).To(gomega.Equal(c.want), "%+v", c)
		h.End(run)
	}
}

func TestSplitKeyGrantCoversThatKeyAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder("boot")
	h.Lease(0, renewal(1, grantOf(hotKey, fence5)))
	_, err := h.Begin(0, hotKey, fence5, "hot")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = h.Begin(0, hotKey, fence5, "other")
	g.Expect(problemOf(err)).To(gomega.Equal(ProblemOtherKey))
}

func TestRevokedShardsAreBusyUntilTheirRunsEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder("boot")
	h.Lease(0, renewal(1, grantOf(shard0, fence5)))
	cold, err := h.Begin(0, shard0, fence5, "cold")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	hot, err := h.Begin(0, shard0, fence5, "hot")
	g.Expect(err).NotTo(gomega.HaveOccurred())

	reply := h.Lease(1*ms, renewal(2, grantOf(shard0, fence5, "hot")))
	g.Expect(reply.Busy).To(gomega.Equal([]string{"svc/0/hot"}))
	g.Expect(h.Recheck(1*ms, hot)).To(gomega.Succeed(), "the lessor waits for it")
	g.Expect(h.Recheck(1*ms, cold)).To(gomega.Succeed())
	_, err = h.Begin(1*ms, shard0, fence5, "hot")
	g.Expect(problemOf(err)).To(gomega.Equal(ProblemExcepted))
	h.End(hot)

	reply = h.Lease(2*ms, renewal(3))
	g.Expect(reply.Busy).To(gomega.Equal([]string{"svc/0", "svc/0/cold"}))
	g.Expect(h.Recheck(2*ms, cold)).To(gomega.Succeed(), "the lessor waits for it")
	h.End(cold)
	g.Expect(h.Lease(3*ms, renewal(3)).Busy).To(gomega.BeEmpty())
	g.Expect(problemOf(h.Recheck(3*ms, cold))).To(gomega.Equal(ProblemNotBegun))
}

// TestExceptedKeyStaysBusyWhenItsRangeIsRevoked checks that a key with a run in
// flight is reported as busy after its range is revoked or granted again. Otherwise
// the key could be assigned to another server while the run still uses it.
func TestExceptedKeyStaysBusyWhenItsRangeIsRevoked(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder("boot")
	h.Lease(0, renewal(1, grantOf(shard0, fence5)))
	_, err := h.Begin(0, shard0, fence5, "hot")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(h.Lease(0, renewal(2, grantOf(shard0, fence5, "hot"))).Busy).To(gomega.Equal([]string{"svc/0/hot"}))
	g.Expect(h.Lease(0, renewal(3)).Busy).To(gomega.ContainElement("svc/0/hot"))
	higher := grantOf(shard0, topo.MakeFence(8, 0), "hot")
	g.Expect(h.Lease(0, renewal(4, higher)).Busy).To(gomega.ContainElement("svc/0/hot"))
}

func TestRunsDoNotOutliveTheOwnershipTheyBeganUnder(t *testing.T) {
	const expired = 1000 * ms
	again := func(generation uint64, grants ...serverapi.Grant) serverapi.LeaseRequest {
		req := renewal(generation, grants...)
		req.Echo = int64(expired)
		return req
	}
	higher := topo.MakeFence(8, 0)
	cases := map[string]struct {
		change func(h *Holder)
		now    time.Duration
		want   Problem
	}{
		"lapsed": {func(*Holder) {}, expired, ProblemExpired},
		"expired and renewed under the same fence": {func(h *Holder) {
			h.Lease(expired, again(1, grantOf(shard0, fence5)))
		}, expired, ""},
		"expired and renewed without the shard": {func(h *Holder) {
			h.Lease(expired, again(2))
		}, expired, ProblemNotGranted},
		"revoked, then expired and renewed": {func(h *Holder) {
			h.Lease(0, renewal(2))
			h.Lease(expired, again(3))
		}, expired, ProblemNotGranted},
		"revoked": {func(h *Holder) {
			h.Lease(0, renewal(2))
		}, 0, ""},
		"granted again under a higher fence": {func(h *Holder) {
			h.Lease(0, renewal(2, grantOf(shard0, higher)))
		}, 0, ProblemOtherFence},
		"its key granted under a higher fence": {func(h *Holder) {
			h.Lease(0, renewal(2, grantOf(shard0, fence5, "hot"), grantOf(hotKey, higher)))
		}, 0, ProblemExcepted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := NewHolder("boot")
			h.Lease(0, renewal(1, grantOf(shard0, fence5)))
			run, err := h.Begin(0, shard0, fence5, "hot")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			c.change(h)
			g.Expect(problemOf(h.Recheck(c.now, run))).To(gomega.Equal(c.want))
		})
	}
}

func TestDelayedListsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder("boot")
	h.Lease(0, renewal(1, grantOf(shard0, fence5)))
	h.Lease(0, renewal(2))
	reply := h.Lease(0, renewal(1, grantOf(shard0, fence5)))
	g.Expect(reply.Generation).To(gomega.Equal(uint64(2)))
	g.Expect(reply.Active).To(gomega.BeEmpty())

	h.Lease(0, renewal(3, grantOf(shard0, topo.MakeFence(7, 0))))
	reply = h.Lease(0, renewal(4, grantOf(shard0, fence5)))
	g.Expect(reply.Active).To(gomega.BeEmpty(), "a lower fence of the shard must not be served again")
}

func TestLeaseRequestsAreRefusedWithTheirReason(t *testing.T) {
	change := func(alter func(*serverapi.LeaseRequest)) serverapi.LeaseRequest {
		req := renewal(2, grantOf(shard0, fence5))
		alter(&req)
		return req
	}
	cases := map[string]struct {
		req  serverapi.LeaseRequest
		want string
	}{
		"stale term":       {change(func(r *serverapi.LeaseRequest) { r.Term = "9.9" }), serverapi.RefusedStaleTerm},
		"same term, other": {change(func(r *serverapi.LeaseRequest) { r.Lessor = "n2@b" }), serverapi.RefusedLessor},
		"boot":             {change(func(r *serverapi.LeaseRequest) { r.Boot = "earlier" }), serverapi.RefusedBoot},
		"not full":         {change(func(r *serverapi.LeaseRequest) { r.Full = false }), serverapi.RefusedGeneration},
		"future stamp":     {change(func(r *serverapi.LeaseRequest) { r.Echo = int64(2 * ms) }), serverapi.RefusedMalformed},
		"negative stamp":   {change(func(r *serverapi.LeaseRequest) { r.Echo = -1 }), serverapi.RefusedMalformed},
		"no TTL":           {change(func(r *serverapi.LeaseRequest) { r.TTLMs = 0 }), serverapi.RefusedMalformed},
		"TTL too long":     {change(func(r *serverapi.LeaseRequest) { r.TTLMs = 1 << 60 }), serverapi.RefusedMalformed},
		"no term":          {change(func(r *serverapi.LeaseRequest) { r.Term = "0.0" }), serverapi.RefusedMalformed},
		"no lessor":        {change(func(r *serverapi.LeaseRequest) { r.Lessor = "" }), serverapi.RefusedMalformed},
		"bad shard":        {change(func(r *serverapi.LeaseRequest) { r.Grants[0].Shard = "svc" }), serverapi.RefusedMalformed},
		"no fence":         {change(func(r *serverapi.LeaseRequest) { r.Grants[0].Fence = "0.0" }), serverapi.RefusedMalformed},
		"bad standby":      {change(func(r *serverapi.LeaseRequest) { r.Standby = []serverapi.Grant{{Shard: "x"}} }), serverapi.RefusedMalformed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := NewHolder("boot")
			h.Lease(0, renewal(1))
			expires := h.Expires()
			reply := h.Lease(1*ms, c.req)
			g.Expect(reply.Refused).To(gomega.Equal(c.want))
			g.Expect(reply.Generation).To(gomega.Equal(uint64(1)))
			g.Expect(h.Expires()).To(gomega.Equal(expires))
		})
	}
}

func TestAcknowledgedTermRefusesLowerOnesAndKeepsTheLease(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder("boot")
	h.Lease(0, renewal(1, grantOf(shard0, fence5)))
	reply := h.Acknowledge(100*ms, serverapi.AcknowledgeRequest{Term: "12.0"})
	g.Expect(reply.Refused).To(gomega.BeEmpty())
	g.Expect(reply.RemainingMs).To(gomega.Equal(int64(900)))
	g.Expect(reply.Generation).To(gomega.BeZero(), "the list is not of the new term")
	g.Expect(reply.Active).To(gomega.HaveLen(1))

	late := renewal(2, grantOf(shard0, fence5))
	late.Echo = int64(100 * ms)
	g.Expect(h.Lease(150*ms, late).Refused).To(gomega.Equal(serverapi.RefusedStaleTerm))
	g.Expect(h.Valid(999 * ms)).To(gomega.BeTrue())
	g.Expect(h.Valid(1000 * ms)).To(gomega.BeFalse())
	stale := h.Acknowledge(0, serverapi.AcknowledgeRequest{Term: "11.0"})
	g.Expect(stale.Refused).To(gomega.Equal(serverapi.RefusedStaleTerm))
	bad := h.Acknowledge(0, serverapi.AcknowledgeRequest{Term: "?"})
	g.Expect(bad.Refused).To(gomega.Equal(serverapi.RefusedMalformed))
}

func TestActivatedStandbyGrantIsReportedAfterItsRevocation(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder("boot")
	req := renewal(1)
	req.Standby = []serverapi.Grant{grantOf(shard0, fence5.Standby())}
	g.Expect(h.Lease(0, req).Active).To(gomega.BeEmpty())
	fence, is := h.Standby(shard0)
	g.Expect(is).To(gomega.BeTrue())
	g.Expect(fence).To(gomega.Equal(fence5.Standby()))

	active := []serverapi.Grant{grantOf(shard0, fence5.Standby())}
	g.Expect(h.Lease(0, renewal(2, active...)).Active).To(gomega.Equal(active))
	reply := h.Lease(0, renewal(3))
	g.Expect(reply.Active).To(gomega.Equal(active), "it was activated earlier")
	_, err := h.Begin(0, shard0, fence5.Standby(), "k")
	g.Expect(problemOf(err)).To(gomega.Equal(ProblemNotGranted))
	later := h.Lease(0, renewal(4, grantOf(shard0, topo.MakeFence(8, 0))))
	g.Expect(later.Active).To(gomega.HaveLen(1))
	g.Expect(h.Lease(0, renewal(5)).Active).To(gomega.BeEmpty())
}

func TestRenewalsWithoutAListCarryOnlyTheDigest(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder("boot")
	grants := []serverapi.Grant{grantOf(shard0, fence5, "b", "a"), grantOf(hotKey, fence5)}
	h.Lease(0, renewal(1, grants...))
	short := renewal(1)
	short.Full = false
	reply := h.Lease(0, short)
	g.Expect(reply.Active).To(gomega.BeNil())
	g.Expect(reply.Digest).To(gomega.Equal(serverapi.GrantsDigest([]serverapi.Grant{grants[1], grants[0]})))
	g.Expect(reply.Digest).NotTo(gomega.Equal(serverapi.GrantsDigest(grants[:1])))
	short.WantActive = true
	g.Expect(h.Lease(0, short).Active).To(gomega.HaveLen(2))
}

func TestStampOnlyRequestGrantsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	h := NewHolder("boot")
	reply := h.Lease(7*ms, serverapi.LeaseRequest{Term: "10.0", Lessor: "n1@b", TTLMs: 1000})
	g.Expect(reply.Refused).To(gomega.BeEmpty())
	g.Expect(reply.Stamp).To(gomega.Equal(int64(7 * ms)))
	g.Expect(reply.RemainingMs).To(gomega.BeZero())
	g.Expect(reply.HighestTerm).To(gomega.Equal("10.0"))
}

func TestGranterIgnoresALateReplyOfAnEarlierIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	granter := NewGranter(Timing{TTL: time.Second})
	at := func(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }
	g.Expect(granter.Replied(serverapi.LeaseReply{Boot: "one", Stamp: 5}, at(0), at(1))).To(gomega.BeFalse())
	g.Expect(granter.Replied(serverapi.LeaseReply{Boot: "two", Stamp: 3}, at(10), at(11))).To(gomega.BeTrue())
	g.Expect(granter.Replied(serverapi.LeaseReply{Boot: "one", Stamp: 9}, at(5), at(12))).To(gomega.BeFalse())
	g.Expect(granter.Boot()).To(gomega.Equal(topo.BootID("two")))
}

func TestGranterDoesNotEchoAStampWhoseLeaseWouldHaveExpired(t *testing.T) {
	g := gomega.NewWithT(t)
	granter := NewGranter(Timing{TTL: time.Second})
	start := time.Unix(0, 0)
	_, _, ok := granter.Renewal(start)
	g.Expect(ok).To(gomega.BeFalse())
	granter.Replied(serverapi.LeaseReply{Boot: "one", Stamp: 5}, start, start)
	_, echo, ok := granter.Renewal(start.Add(999 * ms))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(echo).To(gomega.Equal(int64(5)))
	_, _, ok = granter.Renewal(start.Add(1000 * ms))
	g.Expect(ok).To(gomega.BeFalse())
}

func FuzzHolderAcceptsAnyLeaseRequest(f *testing.F) {
	f.Add([]byte(`{"term":"10.0","lessor":"n@b","boot":"boot","ttlMs":1000,"generation":1,"full":true,"grants":[{"shard":"s/0","fence":"3.0"}]}`))
	f.Add([]byte(`{"term":"10.0","lessor":"n@b","boot":"boot","echo":-1,"ttlMs":9223372036854775807,"generation":1}`))
	f.Add([]byte(`{"term":"18446744073709551616.0"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var req serverapi.LeaseRequest
		if json.Unmarshal(data, &req) != nil {
			return
		}
		const now = 5 * time.Second
		h := NewHolder("boot")
		reply := h.Lease(now, req)
		if reply.Refused != "" && h.Valid(now) {
			t.Fatalf("refused %q but valid", reply.Refused)
		}
		if h.Expires() > now+maxTTL {
			t.Fatalf("lease until %v", h.Expires())
		}
	})
}
