package follow

import (
	"slices"
	"strings"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func memberMessage(m view.Member) *bspb.GatewayMember {
	return &bspb.GatewayMember{Node: m.Node, Boot: m.Boot, Zone: m.Zone, Address: m.Address, Strength: m.Capacity}
}

func memberOf(m *bspb.GatewayMember) view.Member {
	return view.Member{Node: m.GetNode(), Boot: m.GetBoot(), Zone: m.GetZone(), Address: m.GetAddress(), Capacity: m.GetStrength()}
}

func memberMessages(list []view.Member) []*bspb.GatewayMember {
	messages := make([]*bspb.GatewayMember, 0, len(list))
	for _, m := range list {
		messages = append(messages, memberMessage(m))
	}
	return messages
}

func membersOf(messages []*bspb.GatewayMember) []view.Member {
	list := make([]view.Member, 0, len(messages))
	for _, m := range messages {
		list = append(list, memberOf(m))
	}
	return list
}

func sortMembers(list []view.Member) {
	slices.SortFunc(list, func(a, b view.Member) int { return strings.Compare(a.Node, b.Node) })
}

// shareUnit is the value of a full share in a message, which has shares in thousandths.
const shareUnit = 1000

func sharesMessage(shares view.Shares) *bspb.ServerShares {
	message := &bspb.ServerShares{TableOffset: int64(shares.Offset), Serial: shares.Serial}
	for id, share := range shares.ByServer {
		message.Servers = append(message.Servers, string(id))
		message.Shares = append(message.Shares, uint32(max(share*shareUnit, 1)))
	}
	return message
}

func sharesOf(message *bspb.ServerShares) view.Shares {
	shares := view.Shares{Offset: store.Offset(message.TableOffset), Serial: message.Serial, ByServer: quota.Shares{}}
	for i, id := range message.Servers {
		if i < len(message.Shares) {
			shares.ByServer[site.ServerID(id)] = float64(message.Shares[i]) / shareUnit
		}
	}
	return shares
}
