package lease

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// BenchmarkHolderBegin measures a server's ownership check of one request.
func BenchmarkHolderBegin(b *testing.B) {
	h := NewHolder("boot")
	h.Lease(0, renewal(1, grantsOf(100)...))
	shard := topo.ShardID{Service: "svc", Index: 42}
	b.ReportAllocs()
	for b.Loop() {
		run, err := h.Begin(0, shard, fence5, "key")
		if err != nil {
			b.Fatal(err)
		}
		h.End(run)
	}
}

// BenchmarkRenewal measures one renewal without and with a grant list, including
// JSON encoding and decoding of request and reply. It reports the size of both
// bodies together as wire-B.
func BenchmarkRenewal(b *testing.B) {
	for _, shards := range []int{8, 100, 1000} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("shards=%d/full=%v", shards, full), func(b *testing.B) {
				grants := grantsOf(shards)
				h := NewHolder("boot")
				h.Lease(0, renewal(1, grants...))
				granter := NewGranter(Timing{TTL: time.Second})
				bytes := 0
				for b.Loop() {
					req := renewal(1)
					req.Full = full
					if full {
						req.Grants = grants
					}
					bytes = roundTrip(b, h, granter, req)
				}
				b.ReportMetric(float64(bytes), "wire-B")
			})
		}
	}
}

func grantsOf(shards int) []serverapi.Grant {
	grants := make([]serverapi.Grant, shards)
	for i := range grants {
		grants[i] = grantOf(topo.ShardID{Service: "svc", Index: uint32(i)}, fence5)
	}
	return grants
}

// roundTrip sends a renewal to the holder and its reply to the granter, and
// returns the encoded size of both in bytes.
func roundTrip(b *testing.B, h *Holder, granter *Granter, req serverapi.LeaseRequest) int {
	sent, err := json.Marshal(req)
	if err != nil {
		b.Fatal(err)
	}
	var arrived serverapi.LeaseRequest
	if err := json.Unmarshal(sent, &arrived); err != nil {
		b.Fatal(err)
	}
	back, err := json.Marshal(h.Lease(0, arrived))
	if err != nil {
		b.Fatal(err)
	}
	var reply serverapi.LeaseReply
	if err := json.Unmarshal(back, &reply); err != nil {
		b.Fatal(err)
	}
	now := time.Unix(0, 0)
	granter.Replied(reply, now, now)
	return len(sent) + len(back)
}
