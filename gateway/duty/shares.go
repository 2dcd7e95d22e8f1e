package duty

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// sharesResendInterval is the interval at which unchanged shares are sent again. Nodes drop
// shares after router.ShareValidity, so that a node that receives no updates from the lessor
// does not refuse requests by outdated shares.
const sharesResendInterval = 2 * time.Second

// updateShares decides which share of the requests for servers' keys nodes may send, and
// sends the shares when they have changed or are due again.
func (d *Duty) updateShares(now time.Time) {
	if d.allocator == nil || now.Before(d.nextShares) {
		return
	}
	d.nextShares = now.Add(quota.UpdateInterval)
	nodes := len(d.State.Now().Members)
	shares, changed := d.quota.Update(d.allocator.Demands(d.site(now), now), nodes)
	if changed {
		smallest := smallestShare(shares)
		eventShares.Log(d.Logger, "servers", len(shares), "leastOf", smallest, "least", shares[smallest], "nodes", nodes)
	}
	isStale := len(shares) > 0 && now.Sub(d.sharesSentAt) > sharesResendInterval
	if changed || isStale {
		d.sendShares(shares, now)
	}
}

// smallestShare returns the server with the smallest share, or "" if there are no shares.
func smallestShare(shares quota.Shares) site.ServerID {
	var smallest site.ServerID
	for id, share := range shares {
		if smallest == "" || share < shares[smallest] {
			smallest = id
		}
	}
	return smallest
}

func (d *Duty) sendShares(shares quota.Shares, now time.Time) {
	d.sharesSentAt = now
	d.sharesSerial++
	d.State.MergeShares(view.Shares{Offset: d.leaseOffset, Serial: d.sharesSerial, ByServer: shares})
}
