package duty

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// sharesAgain is how often shares that have not changed are told again. Nodes drop them
// after router.ShareLife: a node that the lessor's news do not reach must not refuse by
// old ones.
const sharesAgain = 2 * time.Second

// decideShares decides which part of the requests for servers' keys nodes may send, and
// tells them.
func (d *Duty) decideShares(now time.Time) {
	if d.allocator == nil || now.Before(d.nextShares) {
		return
	}
	d.nextShares = now.Add(quota.Round)
	nodes := len(d.State.Now().Members)
	shares, changed := d.quota.Update(d.allocator.Demands(d.site(now), now), nodes)
	if changed {
		least := leastOf(shares)
		eventShares.Log(d.Logger, "servers", len(shares), "leastOf", least, "least", shares[least], "nodes", nodes)
	}
	isOld := len(shares) > 0 && now.Sub(d.toldAt) > sharesAgain
	if changed || isOld {
		d.tellShares(shares, now)
	}
}

// leastOf returns the server with the least share; empty if none has one.
func leastOf(shares quota.Shares) site.ServerID {
	var least site.ServerID
	for id, share := range shares {
		if least == "" || share < shares[least] {
			least = id
		}
	}
	return least
}

func (d *Duty) tellShares(shares quota.Shares, now time.Time) {
	d.toldAt = now
	d.sharesSerial++
	d.State.MergeShares(view.Shares{Offset: d.leaseOffset, Serial: d.sharesSerial, Of: shares})
}
