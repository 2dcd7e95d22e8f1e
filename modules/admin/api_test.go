package admin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

var _ = ginkgo.Describe("administration API", func() {
	ginkgo.DescribeTable("requests without the valid token are rejected",
		func(authorization string) {
			r := newRig(ginkgo.GinkgoTB())
			for path, method := range paths {
				response := r.send(method, path, authorization, "{}")
				body, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				r.Expect(response.StatusCode).To(gomega.Equal(401), "%s with %q", path, authorization)
				r.Expect(response.Header.Get("WWW-Authenticate")).To(gomega.HavePrefix("Bearer"))
				var failure adminapi.Failure
				r.Expect(json.Unmarshal(body, &failure)).To(gomega.Succeed())
				r.Expect(failure.Code).To(gomega.Equal(adminapi.CodeUnauthorized))
			}
			r.Expect(r.drains).To(gomega.BeEmpty())
		},
		ginkgo.Entry("none", ""),
		ginkgo.Entry("scheme only", "Bearer"),
		ginkgo.Entry("empty token", "Bearer "),
		ginkgo.Entry("another token", "Bearer wrong"),
		ginkgo.Entry("too long", "Bearer "+goodToken+"x"),
		ginkgo.Entry("too short", "Bearer "+goodToken[:15]),
		ginkgo.Entry("another scheme", "Basic "+goodToken),
		ginkgo.Entry("no scheme", goodToken),
		ginkgo.Entry("two spaces", "Bearer  "+goodToken),
	)

	ginkgo.It("the module requires a token", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		ctx := kernel.NewContext(kernel.Identity{}, hclog.NewNullLogger())
		g.Expect(kernel.Provide(ctx, &settings.Settings{})).To(gomega.Succeed())
		module, err := kernel.New("admin.http")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = module.(kernel.Provisioner).Provision(ctx) // fails because services are missing too
		g.Expect(module.(kernel.Validator).Validate()).To(gomega.MatchError("the administration API requires a token"))
	})

	ginkgo.DescribeTable("a failed request returns a code and changes nothing",
		func(method, path, body string, status int, code adminapi.Code) {
			r := newPopulatedRig(ginkgo.GinkgoTB())
			before := len(r.site.Records())
			response := r.send(method, path, "Bearer "+goodToken, body)
			answer, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			r.Expect(response.StatusCode).To(gomega.Equal(status))
			var failure adminapi.Failure
			r.Expect(json.Unmarshal(answer, &failure)).To(gomega.Succeed())
			r.Expect(failure.Code).To(gomega.Equal(code))
			r.Expect(failure.Message).NotTo(gomega.BeEmpty())
			r.Expect(r.site.Records()).To(gomega.HaveLen(before))
		},
		describeRequest,
		ginkgo.Entry(nil, "GET", "/none", "", 404, adminapi.CodeNotFound),
		ginkgo.Entry(nil, "GET", "/", "", 404, adminapi.CodeNotFound),
		ginkgo.Entry(nil, "DELETE", "/v1/site", "", 405, adminapi.CodeMethod),
		ginkgo.Entry(nil, "GET", "/v1/drain", "", 405, adminapi.CodeMethod),
		ginkgo.Entry(nil, "PROPFIND", "/", "", 405, adminapi.CodeMethod),
		ginkgo.Entry(nil, "POST", "/v1/site", "{}", 400, adminapi.CodeMalformed),
		ginkgo.Entry(nil, "POST", "/v1/site?base=-1", "{}", 400, adminapi.CodeMalformed),
		ginkgo.Entry(nil, "POST", "/v1/site?base=0", strings.Repeat(" ", adminapi.MaxBodyBytes+1), 413, adminapi.CodeTooLarge),
		ginkgo.Entry(nil, "POST", "/v1/site?base=1", strings.Repeat(" ", adminapi.MaxBodyBytes), 422, adminapi.CodeInvalid),
		ginkgo.Entry(nil, "POST", "/v1/site?base=1", "", 422, adminapi.CodeInvalid),
		ginkgo.Entry(nil, "GET", "/v1/shards", "", 404, adminapi.CodeNotFound),
		ginkgo.Entry(nil, "GET", "/v1/shards?service=logs&from=x", "", 400, adminapi.CodeMalformed),
		ginkgo.Entry(nil, "POST", "/v1/loss", "no JSON", 400, adminapi.CodeMalformed),
		ginkgo.Entry(nil, "POST", "/v1/loss", `{"servers": ["s1"], "stoped": true}`, 400, adminapi.CodeMalformed),
		ginkgo.Entry(nil, "POST", "/v1/loss", `{"servers": ["s1"]}`, 422, adminapi.CodeInvalid),
		ginkgo.Entry(nil, "POST", "/v1/loss", `{"servers": ["s9"], "stopped": true}`, 422, adminapi.CodeInvalid),
		ginkgo.Entry(nil, "POST", "/v1/loss", `{"nodes": ["n9"], "stopped": true}`, 422, adminapi.CodeInvalid),
		ginkgo.Entry(nil, "POST", "/v1/loss", `{"stopped": true}`, 422, adminapi.CodeInvalid),
		ginkgo.Entry(nil, "POST", "/v1/moves", `{"moves": []}`, 422, adminapi.CodeInvalid),
		ginkgo.Entry(nil, "POST", "/v1/moves", `[]`, 400, adminapi.CodeMalformed),
	)

	ginkgo.It("reports the status and lists", func() {
		t := ginkgo.GinkgoTB()
		r := newPopulatedRig(t)
		status, err := r.client().Status(background)
		r.Expect(err).NotTo(gomega.HaveOccurred())
		r.Expect(status.Node).To(gomega.Equal(topo.NodeID("a1")))
		r.Expect(status.Services).To(gomega.Equal([]topo.Service{"logs", "help"}), "in start order")
		r.Expect(status.Servers).To(gomega.Equal(adminapi.ServerCounts{Live: 3, Draining: 1}))
		r.Expect(status.Leads).To(gomega.Equal([]topo.GroupID{"a/0"}))
		r.Expect(status.Unowned).To(gomega.Equal(map[string]int{"logs": 2}))
		r.Expect(status.LogContactAgeMs).To(gomega.BeNumerically(">=", 0))

		r.Expect(r.module.(kernel.Drainer).Drain(background)).To(gomega.Succeed())
		status, err = r.client().Status(background)
		r.Expect(err).NotTo(gomega.HaveOccurred(), "the API stays up while the node drains")
		r.Expect(status.Draining).To(gomega.BeTrue())

		var servers []adminapi.Server
		r.get(adminapi.PathServers, &servers)
		r.Expect(servers).To(gomega.HaveLen(4))
		r.Expect(servers[1].Owns).To(gomega.Equal(1))
		r.Expect(servers[3].Phase).To(gomega.Equal("draining"))
		var groups []adminapi.Group
		r.get(adminapi.PathGroups, &groups)
		r.Expect(groups).To(gomega.HaveLen(2))
		var nodes []adminapi.Node
		r.get(adminapi.PathNodes, &nodes)
		r.Expect(nodes).To(gomega.HaveLen(2))
		text, err := r.client().Dump(background)
		r.Expect(err).NotTo(gomega.HaveOccurred())
		r.Expect(string(text)).To(gomega.ContainSubstring(`"duty.test": "state"`))
		var metrics map[string]any
		r.get(adminapi.PathMetrics, &metrics)
		r.Expect(metrics).To(gomega.HaveKey("admin"))
	})

	ginkgo.It("lists shards in pages", func() {
		t := ginkgo.GinkgoTB()
		r := newPopulatedRig(t)
		var part adminapi.Shards
		r.get("/v1/shards?service=logs&max=3", &part)
		r.Expect(part.Shards).To(gomega.HaveLen(3))
		r.Expect(part.Shards[1].Owner).To(gomega.Equal(topo.ServerID("s2")))
		r.Expect(part).To(gomega.HaveField("Next", 3))
		var rest adminapi.Shards
		r.get("/v1/shards?service=logs&from=3", &rest)
		r.Expect(rest.Shards).To(gomega.HaveLen(1))
		r.Expect(rest.Shards[0].Shard).To(gomega.Equal("logs/3"))
		r.Expect(rest.Next).To(gomega.BeZero())
		var one adminapi.Shards
		r.get("/v1/shards?service=logs&key=well-17", &one)
		index := topo.ShardIndex("well-17", 4)
		r.Expect(one.Shards[0].Shard).To(gomega.Equal(topo.ShardID{Service: "logs", Index: index}.String()))
	})

	ginkgo.It("requests a drain once", func() {
		t := ginkgo.GinkgoTB()
		r := newRig(t)
		r.Expect(r.client().Drain(background)).To(gomega.Succeed())
		r.Expect(r.drains).To(gomega.HaveLen(1))
	})

	ginkgo.It("records a loss only for machines that have stopped", func() {
		t := ginkgo.GinkgoTB()
		r := newPopulatedRig(t)
		loss := adminapi.Loss{Servers: []topo.ServerID{"s2"}, Nodes: []topo.NodeID{"b1"}}
		_, err := r.client().ConfirmLoss(background, loss)
		r.Expect(r.failure(err, adminapi.CodeInvalid).Problems[0].Field).To(gomega.Equal("stopped"))
		r.Expect(r.site.View().ServerLost("s2")).To(gomega.BeFalse())

		loss.Stopped = true
		r.appender.inject(logUnavailable)
		_, err = r.client().ConfirmLoss(background, loss)
		_ = r.failure(err, adminapi.CodeNotAppended)
		r.Expect(r.site.View().ServerLost("s2")).To(gomega.BeFalse())

		accepted, err := r.client().ConfirmLoss(background, loss)
		r.Expect(err).NotTo(gomega.HaveOccurred())
		r.Expect(accepted.Accepted).To(gomega.Equal(2))
		r.Expect(r.site.View().ServerLost("s2")).To(gomega.BeTrue())
		r.Expect(r.site.View().NodeLost("b1")).To(gomega.BeTrue())
		records := r.site.Records()
		source := records[len(records)-1].Record.GetConfirmLoss().GetSource()
		r.Expect(source).To(gomega.Equal("operator tester"))
	})

	ginkgo.It("sends moves to the lessor of the owner's group", func() {
		t := ginkgo.GinkgoTB()
		r := newPopulatedRig(t)
		var local []*bspb.MoveRequest
		r.handlers.Move = func(_ context.Context, req *bspb.MoveRequest) (*bspb.MoveResponse, error) {
			local = append(local, req)
			return &bspb.MoveResponse{Accepted: uint32(len(req.Moves))}, nil
		}
		accepted, err := r.client().Move(background, adminapi.Moves{Moves: []adminapi.Move{
			{Shard: "logs/0", To: "s2", Standby: "s1"}, {Shard: "logs/1", To: "s1"},
		}})
		r.Expect(err).NotTo(gomega.HaveOccurred())
		r.Expect(accepted.Accepted).To(gomega.Equal(2))
		r.Expect(local).To(gomega.HaveLen(1), "this node is the lessor of s1's group")
		r.Expect(local[0].Moves[0].To).To(gomega.Equal("s2"))
		r.Expect(r.peers.requests["b1"]).To(gomega.HaveLen(1))
		request := r.peers.requests["b1"][0]
		shard, _ := r.site.View().Shard(topo.ShardID{Service: "logs", Index: 1})
		r.Expect(request.Group).To(gomega.Equal("b/0"))
		r.Expect(request.Reason).To(gomega.Equal("operator"))
		r.Expect(request.Moves[0].Fence.Offset).To(gomega.Equal(uint64(shard.Fence.Offset)))
	})

	ginkgo.It("rejects all moves if some are impossible", func() {
		t := ginkgo.GinkgoTB()
		r := newPopulatedRig(t)
		wanted := []struct{ shard, to, standby, text string }{
			{"logs", "s2", "", "cannot read"},
			{"logs/9", "s2", "", "no such shard"},
			{"none/0", "s2", "", "no such shard"},
			{"logs/2", "s2", "", "has no owner"},
			{"logs/0", "s1", "", "owns the shard already"},
			{"logs/0", "s9", "", "no server is called s9"},
			{"logs/0", "h1", "", "h1 serves help"},
			{"logs/0", "s3", "", "s3 takes no new shards"},
			{"logs/0", "s2", "s2", "standby must be another"},
			{"logs/0", "s2", "s3", "standby: s3 takes no new shards"},
		}
		var moves adminapi.Moves
		for _, w := range wanted {
			moves.Moves = append(moves.Moves, adminapi.Move{Shard: w.shard, To: topo.ServerID(w.to), Standby: topo.ServerID(w.standby)})
		}
		_, err := r.client().Move(background, moves)
		failure := r.failure(err, adminapi.CodeInvalid)
		r.Expect(failure.Problems).To(gomega.HaveLen(len(wanted)))
		for i, w := range wanted {
			r.Expect(failure.Problems[i].Text).To(gomega.ContainSubstring(w.text))
		}
		r.Expect(r.peers.requests).To(gomega.BeEmpty())
	})

	ginkgo.It("a call to a lessor fails", func() {
		t := ginkgo.GinkgoTB()
		r := newPopulatedRig(t)
		move := adminapi.Moves{Moves: []adminapi.Move{{Shard: "logs/1", To: "s1"}}}
		r.peers.err = &peer.CallError{Node: "b1", Op: "move", Sent: false, Cause: io.ErrClosedPipe}
		_, err := r.client().Move(background, move)
		_ = r.failure(err, adminapi.CodeNoLessor)
		r.peers.err = &peer.CallError{Node: "b1", Op: "move", Sent: true, Cause: io.ErrUnexpectedEOF}
		_, err = r.client().Move(background, move)
		_ = r.failure(err, adminapi.CodeMoveUnknown)
	})
})

// paths maps each endpoint to the method that it serves.
var paths = map[string]string{
	adminapi.PathStatus: "GET", adminapi.PathDump: "GET", adminapi.PathSite: "GET", adminapi.PathServers: "GET",
	adminapi.PathShards: "GET", adminapi.PathGroups: "GET", adminapi.PathNodes: "GET",
	adminapi.PathDrain: "POST", adminapi.PathLoss: "POST", adminapi.PathMoves: "POST",
	adminapi.PathMetrics: "GET", adminapi.PathProfile: "GET", adminapi.PathProfile + "/goroutine": "GET", "/none": "GET",
}

// newPopulatedRig starts node "a1" of a site with the service "logs". Its shard 0 is
// owned by s1 in zone a and shard 1 by s2 in zone b; a1 and b1 are the lessors.
func newPopulatedRig(t testing.TB) *rig {
	r := newRig(t)
	ok := func(result state.Result) {
		r.Expect(result.Accepted).To(gomega.BeTrue(), "%v", result.Conflict)
	}
	ok(r.site.Publish(sitefake.Keyed("logs", 4), sitefake.Unkeyed("help", "logs")))
	for _, zone := range []string{"a", "b"} {
		ok(r.site.Join(zone+"1", zone))
		ok(r.site.Lessor(zone, zone+"1"))
	}
	ok(r.site.Server("s1", "logs", "a", state.PhaseLive))
	ok(r.site.Server("s2", "logs", "b", state.PhaseLive))
	ok(r.site.Server("s3", "logs", "a", state.PhaseDraining))
	ok(r.site.Server("h1", "help", "a", state.PhaseLive))
	for i, owner := range []string{"s1", "s2"} {
		ok(r.site.PerformMove(&bspb.ShardMove{Shard: &bspb.ShardRef{Service: "logs", Index: uint32(i)}, Fence: &bspb.Ordinal{}, To: owner}))
	}
	return r
}

// describeRequest returns the name of a table row from its request.
func describeRequest(method, path, body string, status int, _ adminapi.Code) string {
	if len(body) > 40 {
		body = fmt.Sprintf("%d bytes", len(body))
	}
	return fmt.Sprintf("%s %s %s: %d", method, path, body, status)
}

func (r *rig) get(path string, into any) {
	response := r.send(http.MethodGet, path, "Bearer "+goodToken, "")
	defer func() { _ = response.Body.Close() }()
	r.ExpectWithOffset(1, response.StatusCode).To(gomega.Equal(200))
	r.ExpectWithOffset(1, json.NewDecoder(response.Body).Decode(into)).To(gomega.Succeed())
}
