package admin

import (
	"context"
	"crypto/sha256"
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/state"
)

// maxRecordedVersions is the number of latest site versions to retain.
const maxRecordedVersions = 256

// recordedVersion is a site version that this process has observed in force.
type recordedVersion struct {
	Version uint64 `json:"version"`
	digest  [sha256.Size]byte
}

// versions retains the digests of the latest site versions, so that a publisher
// whose response was lost can determine the outcome of its text even after other
// publications. A version that a restore skipped is missing.
type versions struct {
	logger hclog.Logger

	mu       sync.Mutex
	recorded []recordedVersion // ascending, at most maxRecordedVersions
}

func newVersions(logger hclog.Logger) *versions { return &versions{logger: logger} }

// follow records each version that comes into force until ctx is done.
func (v *versions) follow(ctx context.Context, source state.Source) {
	for {
		changed := source.Changed()
		v.record(source.View())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// record stores the digest of the version in force, unless it is recorded already.
func (v *versions) record(view *state.View) {
	version := view.SiteVersion()
	if version == 0 || version <= v.last() {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.recorded) > 0 && version <= v.recorded[len(v.recorded)-1].Version {
		return
	}
	if len(v.recorded) == maxRecordedVersions {
		v.recorded = append(v.recorded[:0], v.recorded[1:]...)
	}
	v.recorded = append(v.recorded, recordedVersion{Version: version, digest: sha256.Sum256(view.SiteText())})
	eventSiteInForce.Log(v.logger, "version", version, "applied", view.Applied())
}

func (v *versions) last() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.recorded) == 0 {
		return 0
	}
	return v.recorded[len(v.recorded)-1].Version
}

// compare reports whether a version has the given text. known is false if the
// version is not recorded.
func (v *versions) compare(version uint64, text []byte) (same, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, seen := range v.recorded {
		if seen.Version == version {
			return seen.digest == sha256.Sum256(text), true
		}
	}
	return false, false
}

func (v *versions) list() []recordedVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]recordedVersion{}, v.recorded...)
}
