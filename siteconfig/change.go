package siteconfig

import (
	"strconv"

	"github.com/burdockspindle/burdockspindle/jsonc"
)

// checkChange rejects a change to the mapping of a service's keys to shards,
// because nodes that have read the log to different offsets would route the same
// key to different shards.
func checkChange(services *jsonc.Object, base, next *Site) {
	for _, name := range base.names() {
		before := base.Services[name]
		after, kept := next.Services[name]
		if !kept {
			continue
		}
		o := services.Get(string(name)).Object()
		if before.Keyed != after.Keyed {
			o.FirstPresent("keyed").Problem("cannot change while the service exists; use a new service name")
			continue
		}
		if before.Shards != after.Shards {
			text := "cannot change from " + strconv.FormatUint(uint64(before.Shards), 10) + " while the service exists; use a new service name"
			o.FirstPresent("shards").Problem(text)
		}
	}
}
