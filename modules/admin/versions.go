package admin

import (
	"context"
	"crypto/sha256"
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/state"
)

// keptVersions is how many site versions are remembered.
const keptVersions = 256

// versionSeen is one site version that this process had in force.
type versionSeen struct {
	Version uint64 `json:"version"`
	digest  [sha256.Size]byte
}

// versions remembers the digests of the latest site versions, so that a
// publisher whose answer was lost can learn the fate of its text even after
// others published. A version that was passed over by a restore is missing.
type versions struct {
	logger hclog.Logger

	mu   sync.Mutex
	seen []versionSeen // ascending, at most keptVersions
}

func newVersions(logger hclog.Logger) *versions { return &versions{logger: logger} }

// follow notes each version that comes into force, until ctx ends.
func (v *versions) follow(ctx context.Context, source state.Source) {
	for {
		changed := source.Changed()
		v.note(source.View())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// note remembers the version in force.
func (v *versions) note(view *state.View) {
	version := view.SiteVersion()
	if version == 0 || version <= v.last() {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.seen) > 0 && version <= v.seen[len(v.seen)-1].Version {
		return
	}
	if len(v.seen) == keptVersions {
		v.seen = append(v.seen[:0], v.seen[1:]...)
	}
	v.seen = append(v.seen, versionSeen{Version: version, digest: sha256.Sum256(view.SiteText())})
	eventSiteInForce.Log(v.logger, "version", version, "applied", view.Applied())
}

func (v *versions) last() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.seen) == 0 {
		return 0
	}
	return v.seen[len(v.seen)-1].Version
}

// compare reports whether a version had this text; known is false when the
// version was not seen.
func (v *versions) compare(version uint64, text []byte) (same, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, seen := range v.seen {
		if seen.Version == version {
			return seen.digest == sha256.Sum256(text), true
		}
	}
	return false, false
}

func (v *versions) list() []versionSeen {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]versionSeen{}, v.seen...)
}
