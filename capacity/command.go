package capacity

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/cli"
)

func init() { cli.Register(newCommand) }

func newCommand() cli.Command {
	var options Options
	return cli.Command{
		Name:        "capacity",
		Description: "Measure how a node's cost grows with its site and extrapolate to the design size.",
		Flags: func(sub *flaggy.Subcommand) {
			sub.Bool(&options.Quick, "q", "quick", "measure few and small sizes only")
			sub.String(&options.Dir, "o", "dir", "write capacity.json and a plot of each series into this folder")
		},
		Run: func(ctx context.Context, env *cli.Env) error {
			return Run(ctx, options, env.Stdout, env.Stderr)
		},
	}
}
