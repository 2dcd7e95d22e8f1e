package siteconfig

import (
	"strconv"

	"github.com/burdockspindle/burdockspindle/jsonc"
)

// checkChange refuses to change how a service's keys map to shards: nodes that
// follow the log at different speeds would send one key to two shards.
func checkChange(services *jsonc.Object, base, next *Site) {
	for _, name := range base.names() {
		before := base.Services[name]
		after, kept := next.Services[name]
		if !kept {
			continue
		}
		o := services.Get(string(name)).Object()
		if before.Keyed != after.Keyed {
			o.Blame("keyed").Problem("cannot change while the service exists; use a new service name")
			continue
		}
		if before.Shards != after.Shards {
			text := "cannot change from " + strconv.FormatUint(uint64(before.Shards), 10) + " while the service exists; use a new service name"
			o.Blame("shards").Problem(text)
		}
	}
}
