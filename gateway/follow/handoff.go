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
	Boot  string       // of the former lessor
	Claim store.Offset // of the claim
	// Reply receives what the former lessor granted, once it grants nothing any more; it is
	// closed without that if the node cannot tell. It has room for one.
	Reply chan []ranges.Remaining
}

// NotFormerLessorError reports that a node cannot tell what a lessor granted.
type NotFormerLessorError struct{ Boot string }

// Error implements error.
func (e *NotFormerLessorError) Error() string { return "nothing is known of the lessor " + e.Boot }

// HandOff implements bspbconnect.GatewayHandler.
func (f *Feed) HandOff(ctx context.Context, request *connect.Request[bspb.HandOffRequest]) (*connect.Response[bspb.HandOffReply], error) {
	asked := &HandOff{Boot: request.Msg.Boot, Claim: store.Offset(request.Msg.ClaimOffset), Reply: make(chan []ranges.Remaining, 1)}
	unknown := &NotFormerLessorError{Boot: asked.Boot}
	select {
	case f.HandOffs <- asked:
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, unknown)
	}
	select {
	case list, isKnown := <-asked.Reply:
		if !isKnown {
			return nil, connect.NewError(connect.CodeFailedPrecondition, unknown)
		}
		return connect.NewResponse(remainingMessage(list)), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// AskFormer has the lessor before a claim grant nothing any more and tell what it granted.
// Times count from the call of this function's return.
func (f *Follower) AskFormer(ctx context.Context, former ranges.Lessor, claim store.Offset) ([]ranges.Remaining, error) {
	ctx, cancel := context.WithTimeout(ctx, handOffTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: f.dial, DisableCompression: true, DisableKeepAlives: true}
	client := bspbconnect.NewGatewayClient(&http.Client{Transport: transport}, "http://"+former.Address)
	reply, err := client.HandOff(ctx, connect.NewRequest(&bspb.HandOffRequest{Boot: former.Boot, ClaimOffset: int64(claim)}))
	if err != nil {
		return nil, err
	}
	return remainingOf(reply.Msg), nil
}

func remainingMessage(list []ranges.Remaining) *bspb.HandOffReply {
	reply := &bspb.HandOffReply{Ranges: make([]*bspb.HeldRange, 0, len(list))}
	for _, r := range list {
		reply.Ranges = append(reply.Ranges, &bspb.HeldRange{
			Service: string(r.Service),
			From:    uint32(r.From),
			To:      uint32(r.To),
			HeldMs:  wholeMilliseconds(r.Held),
			DoubtMs: wholeMilliseconds(r.Doubt),
		})
	}
	return reply
}

// wholeMilliseconds rounds up: what may be in force must not seem to end sooner.
func wholeMilliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1).Milliseconds())
}

func remainingOf(reply *bspb.HandOffReply) []ranges.Remaining {
	list := make([]ranges.Remaining, 0, len(reply.Ranges))
	for _, r := range reply.Ranges {
		list = append(list, ranges.Remaining{
			Service: site.ServiceName(r.Service),
			Span:    ranges.Span{From: ranges.Key(r.From), To: ranges.Key(r.To)},
			Held:    time.Duration(r.HeldMs) * time.Millisecond,
			Doubt:   time.Duration(r.DoubtMs) * time.Millisecond,
		})
	}
	return list
}
