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
)

// handOffTimeout is the timeout of a hand-off. The previous lessor waits for its calls in
// flight.
const handOffTimeout = time.Second

// HandOff is a new lessor's request to the previous lessor.
type HandOff struct {
	Previous ranges.Lessor // node and boot of the previous lessor
	Claim    store.Offset
	// Reply receives what is known of the previous lessor's outstanding grants, after it
	// has stopped granting. It is closed without a value if the node does not know them. It
	// has a buffer of one.
	Reply chan PreviousGrants
}

// PreviousGrants describes the grants of a previous lessor that may be outstanding.
type PreviousGrants struct {
	Ranges []ranges.Remaining
	// HasEnded reports that the previous lessor's process ended at least EndedFor before
	// the reply. In this case no node knows the ranges.
	HasEnded bool
	EndedFor time.Duration
}

// UnknownLessorError reports that a node does not know the grants of a lessor.
type UnknownLessorError struct{ Boot string }

// Error implements error.
func (e *UnknownLessorError) Error() string { return "unknown lessor " + e.Boot }

// HandOff implements bspbconnect.GatewayHandler.
func (f *Feed) HandOff(ctx context.Context, request *connect.Request[bspb.HandOffRequest]) (*connect.Response[bspb.HandOffReply], error) {
	previous := ranges.Lessor{Node: request.Msg.Node, Boot: request.Msg.Boot}
	handOff := &HandOff{Previous: previous, Claim: store.Offset(request.Msg.ClaimOffset), Reply: make(chan PreviousGrants, 1)}
	unknown := &UnknownLessorError{Boot: previous.Boot}
	select {
	case f.HandOffs <- handOff:
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, unknown)
	}
	select {
	case grants, isKnown := <-handOff.Reply:
		if !isKnown {
			return nil, connect.NewError(connect.CodeFailedPrecondition, unknown)
		}
		return connect.NewResponse(grantsMessage(grants)), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// RequestGrants makes the lessor before a claim stop granting, and returns its outstanding
// grants. Their durations are measured from the return of this function at the latest.
func (f *Follower) RequestGrants(ctx context.Context, previous ranges.Lessor, claim store.Offset) (PreviousGrants, error) {
	ctx, cancel := context.WithTimeout(ctx, handOffTimeout)
	defer cancel()
	transport := f.newTransport()
	transport.DisableKeepAlives = true
	client := newGatewayClient(&http.Client{Transport: transport}, previous.Address)
	reply, err := client.HandOff(ctx, connect.NewRequest(&bspb.HandOffRequest{Node: previous.Node, Boot: previous.Boot, ClaimOffset: int64(claim)}))
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return PreviousGrants{}, &UnknownLessorError{Boot: previous.Boot}
	}
	if err != nil {
		return PreviousGrants{}, err
	}
	return grantsOf(reply.Msg), nil
}

func grantsMessage(grants PreviousGrants) *bspb.HandOffReply {
	// Rounded down, so that a process that ended recently does not seem to have ended
	// earlier.
	reply := &bspb.HandOffReply{HasEnded: grants.HasEnded, EndedMs: uint32(grants.EndedFor.Milliseconds())}
	for _, r := range grants.Ranges {
		reply.Ranges = append(reply.Ranges, &bspb.HeldRange{
			Service: string(r.Service),
			From:    uint32(r.From),
			To:      uint32(r.To),
			HeldMs:  uint32(RoundUp(r.Held)),
			DoubtMs: uint32(RoundUp(r.Uncertain)),
		})
	}
	return reply
}

// RoundUp returns the duration of outstanding grants in milliseconds. It rounds up, so that
// no grant seems to expire early.
func RoundUp(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

func grantsOf(reply *bspb.HandOffReply) PreviousGrants {
	grants := PreviousGrants{HasEnded: reply.HasEnded, EndedFor: time.Duration(reply.EndedMs) * time.Millisecond}
	for _, r := range reply.Ranges {
		grants.Ranges = append(grants.Ranges, ranges.Remaining{
			Service:   site.ServiceName(r.Service),
			Span:      ranges.Span{From: ranges.Key(r.From), To: ranges.Key(r.To)},
			Held:      time.Duration(r.HeldMs) * time.Millisecond,
			Uncertain: time.Duration(r.DoubtMs) * time.Millisecond,
		})
	}
	return grants
}
