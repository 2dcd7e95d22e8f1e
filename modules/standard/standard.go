// Package standard registers the modules of the released binary by importing them.
// A module that is not imported here is not part of the binary.
package standard

import (
	_ "github.com/burdockspindle/burdockspindle/modules/admin"
	_ "github.com/burdockspindle/burdockspindle/modules/balance"
	_ "github.com/burdockspindle/burdockspindle/modules/follower"
	_ "github.com/burdockspindle/burdockspindle/modules/frontend"
	_ "github.com/burdockspindle/burdockspindle/modules/gateway"
	_ "github.com/burdockspindle/burdockspindle/modules/lessor"
	_ "github.com/burdockspindle/burdockspindle/modules/loghttp"
	_ "github.com/burdockspindle/burdockspindle/modules/logmem"
	_ "github.com/burdockspindle/burdockspindle/modules/membership"
	_ "github.com/burdockspindle/burdockspindle/modules/peer"
	_ "github.com/burdockspindle/burdockspindle/modules/pick"
	_ "github.com/burdockspindle/burdockspindle/modules/planner"
	_ "github.com/burdockspindle/burdockspindle/modules/router"
	_ "github.com/burdockspindle/burdockspindle/modules/serverhttp"
	_ "github.com/burdockspindle/burdockspindle/modules/vmshttp"
	_ "github.com/burdockspindle/burdockspindle/modules/vmsmem"
	_ "github.com/burdockspindle/burdockspindle/platform"
)
