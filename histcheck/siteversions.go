package histcheck

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/topo"
)

// SiteVersions finds versions with two texts, two publications accepted on one
// base, accepted publications that skip versions, and nodes at which the version in
// force decreased. A restarted node may begin at any version and must not go back either.
func SiteVersions(events []history.Event) []Violation {
	check := siteCheck{digests: map[uint64]string{}, accepted: map[uint64]string{}, inForce: map[nodeIncarnation]uint64{}}
	for _, event := range events {
		switch e := event.(type) {
		case history.SitePublished:
			check.published(e)
		case history.SiteInForce:
			check.cameIntoForce(e)
		}
	}
	return check.found
}

// nodeIncarnation identifies one incarnation of a node.
type nodeIncarnation struct {
	node topo.NodeID
	boot topo.BootID
}

type siteCheck struct {
	digests  map[uint64]string // by version
	accepted map[uint64]string // publisher by base
	inForce  map[nodeIncarnation]uint64
	found    []Violation
}

func (c *siteCheck) published(e history.SitePublished) {
	if !e.Accepted {
		return
	}
	if e.Version != e.Base+1 {
		c.add(e.At, e.Publisher, fmt.Sprintf("accepted on base %d as version %d", e.Base, e.Version))
	}
	if other, taken := c.accepted[e.Base]; taken {
		c.add(e.At, e.Publisher, fmt.Sprintf("accepted on base %d, as %s was", e.Base, other))
	}
	c.accepted[e.Base] = e.Publisher
	c.sameText(e.At, e.Publisher, e.Version, e.Digest)
}

func (c *siteCheck) cameIntoForce(e history.SiteInForce) {
	c.sameText(e.At, string(e.Node), e.Version, e.Digest)
	name := nodeIncarnation{e.Node, e.Boot}
	if before := c.inForce[name]; e.Version < before {
		c.add(e.At, string(e.Node), fmt.Sprintf("went back from version %d to %d", before, e.Version))
	}
	c.inForce[name] = e.Version
}

func (c *siteCheck) sameText(at history.Time, subject string, version uint64, digest string) {
	first, seen := c.digests[version]
	if !seen {
		c.digests[version] = digest
		return
	}
	if first != digest {
		c.add(at, subject, fmt.Sprintf("version %d has two texts", version))
	}
}

func (c *siteCheck) add(at history.Time, subject, detail string) {
	c.found = append(c.found, Violation{Rule: RuleSiteVersions, At: at, Subject: subject, Detail: detail})
}
