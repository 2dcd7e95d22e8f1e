package router

import (
	"slices"

	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// regionsOf are the regions of the zones of a site, as one node knows them.
type regionsOf struct {
	own    string            // region of the node
	byZone map[string]string // of the other zones
}

// of returns the region of a zone. isKnown is false for a zone that the settings do not name.
func (r regionsOf) of(zone, ownZone string) (region string, isKnown bool) {
	if zone == ownZone && r.own != "" {
		return r.own, true
	}
	region, isKnown = r.byZone[zone]
	return region, isKnown
}

// regions returns the regions of the zones.
func (r *Router) regions() regionsOf {
	r.mu.Lock()
	defer r.mu.Unlock()
	return regionsOf{own: r.options.Region, byZone: r.options.Regions}
}

// mayRunIn returns the function that reports whether servers of a zone may get the request, or nil
// if those of all zones may. A zone whose region is not known is in none of the regions that a
// route names. The function takes no lock.
func (x *exchange) mayRunIn() func(zone string) bool {
	allowed := x.route.Regions
	if len(allowed) == 0 {
		return nil
	}
	regions, own := x.router.regions(), x.router.zone
	return func(zone string) bool {
		region, isKnown := regions.of(zone, own)
		return isKnown && slices.Contains(allowed, region)
	}
}

// forwardCandidates returns the nodes to which the request may be sent with its body: those in the
// regions that its route names, and in the region in which the caller connected.
func (x *exchange) forwardCandidates() []view.Member {
	members := x.router.state.Now().Members
	mayRunIn := x.mayRunIn()
	if mayRunIn == nil {
		return members
	}
	regions, own := x.router.regions(), x.router.zone
	ownRegion, isOwnKnown := regions.of(own, own)
	return slices.DeleteFunc(slices.Clone(members), func(m view.Member) bool {
		region, isKnown := regions.of(m.Zone, own)
		isOwn := isOwnKnown && isKnown && region == ownRegion
		return !isOwn && !mayRunIn(m.Zone)
	})
}
