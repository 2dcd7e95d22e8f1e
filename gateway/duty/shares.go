package duty

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// sharesAgain is how often shares that have not changed are told again. Nodes drop them
// after router.ShareLife: a node that the lessor's news do not reach must not refuse by
// old ones.
const sharesAgain = 2 * time.Second

// decideShares decides which part of the requests for servers' keys nodes may send, and
// tells them.
func (d *Duty) decideShares(now time.Time) {
	if d.keeper == nil || now.Before(d.nextShares) {
		return
	}
	d.nextShares = now.Add(quota.Round)
	shares, changed := d.quota.Update(d.keeper.Demands(d.site(now), now), len(d.State.Now().Members))
	isOld := len(shares) > 0 && now.Sub(d.toldAt) > sharesAgain
	if !changed && !isOld {
		return
	}
	d.tellShares(shares, now)
}

func (d *Duty) tellShares(shares quota.Shares, now time.Time) {
	d.toldAt = now
	d.sharesSerial++
	d.State.MergeShares(view.Shares{Offset: d.leaseOffset, Serial: d.sharesSerial, Of: shares})
}
