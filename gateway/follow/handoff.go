package follow

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
)

// handOffTimeout ends a hand-off whose reply does not come. The former lessor waits for the
// calls that it has under way.
const handOffTimeout = time.Second

// HandOff is a new lessor's request to the one before it.
type HandOff struct {
	Former ranges.Lessor // its node and boot
	Claim  store.Offset
	// Reply receives what is known of the former lessor's grants, once it grants nothing any
	// more; it is closed without that if the node cannot tell. It has room for one.
	Reply chan FormerGrants
}

// FormerGrants tells what a former lessor granted that may be in force.
type FormerGrants struct {
	Ranges []ranges.Remaining
	// HasEnded tells that its process had ended EndedFor before the reply, at least. Then
	// nobody knows the ranges.
	HasEnded bool
	EndedFor time.Duration
}

// NotFormerLessorError reports that a node cannot tell what a lessor granted.
type NotFormerLessorError struct{ Boot string }

// Error implements error.
func (e *NotFormerLessorError) Error() string { return "nothing is known of the lessor " + e.Boot }

// HandOff implements bspbconnect.GatewayHandler.
func (f *Feed) HandOff(ctx context.Context, request *connect.Request[bspb.HandOffRequest]) (*connect.Response[bspb.HandOffReply], error) {
	former := ranges.Lessor{Node: request.Msg.Node, Boot: request.Msg.Boot}
	asked := &HandOff{Former: former, Claim: store.Offset(request.Msg.ClaimOffset), Reply: make(chan FormerGrants, 1)}
	unknown := &NotFormerLessorError{Boot: former.Boot}
	select {
	case f.HandOffs <- asked:
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, unknown)
	}
	select {
	case grants, isKnown := <-asked.Reply:
		if !isKnown {
			return nil, connect.NewError(connect.CodeFailedPrecondition, unknown)
		}
		return connect.NewResponse(grantsMessage(grants)), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// AskFormer has the lessor before a claim grant nothing any more and tell what it granted.
// Times count from the return of this function at the latest.
func (f *Follower) AskFormer(ctx context.Context, former ranges.Lessor, claim store.Offset) (FormerGrants, error) {
	ctx, cancel := context.WithTimeout(ctx, handOffTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: f.dial, DisableCompression: true, DisableKeepAlives: true}
	client := bspbconnect.NewGatewayClient(&http.Client{Transport: transport}, "http://"+former.Address)
	reply, err := client.HandOff(ctx, connect.NewRequest(&bspb.HandOffRequest{Node: former.Node, Boot: former.Boot, ClaimOffset: int64(claim)}))
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return FormerGrants{}, &NotFormerLessorError{Boot: former.Boot}
	}
	if err != nil {
		return FormerGrants{}, err
	}
	return grantsOf(reply.Msg), nil
}

func grantsMessage(grants FormerGrants) *bspb.HandOffReply {
	// Rounded down: what ended lately must not seem to have ended before.
	reply := &bspb.HandOffReply{HasEnded: grants.HasEnded, EndedMs: uint32(grants.EndedFor.Milliseconds())}
	for _, r := range grants.Ranges {
		reply.Ranges = append(reply.Ranges, &bspb.HeldRange{
			Service: string(r.Service),
			From:    uint32(r.From),
			To:      uint32(r.To),
			HeldMs:  uint32(RoundUp(r.Held)),
			DoubtMs: uint32(RoundUp(r.Doubt)),
		})
	}
	return reply
}

// RoundUp returns a time for which grants may be in force, in milliseconds. It rounds up: what
// may be in force must not seem to end sooner.
func RoundUp(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

func grantsOf(reply *bspb.HandOffReply) FormerGrants {
	grants := FormerGrants{HasEnded: reply.HasEnded, EndedFor: time.Duration(reply.EndedMs) * time.Millisecond}
	for _, r := range reply.Ranges {
		grants.Ranges = append(grants.Ranges, ranges.Remaining{
			Service: site.ServiceName(r.Service),
			Span:    ranges.Span{From: ranges.Key(r.From), To: ranges.Key(r.To)},
			Held:    time.Duration(r.HeldMs) * time.Millisecond,
			Doubt:   time.Duration(r.DoubtMs) * time.Millisecond,
		})
	}
	return grants
}
