package experiment

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/cli"
)

func init() { cli.Register(Command) }

// Command returns the subcommand "experiment".
func Command() cli.Command {
	options := Options{Seed: DefaultSeed, Deployment: DefaultDeployment}
	return cli.Command{
		Name:        "experiment",
		Description: "Run load scenarios against the decision code and compare balancing policies.",
		Flags: func(sub *flaggy.Subcommand) {
			sub.StringSlice(&options.Scenarios, "s", "scenario", "name or file, repeatable; \"all\" for every embedded one (default "+DefaultScenario+")")
			sub.StringSlice(&options.Policies, "p", "policy", "balance policy, repeatable; \"all\" for every one")
			sub.StringSlice(&options.Pickers, "k", "pick", "picker for services without keys, repeatable (default "+DefaultPicker+")")
			sub.String(&options.Deployment, "d", "deployment", "kavango or urbion; \"gateway\" for the gateway's servers that are not divided by key, with scenarios and policies of its own")
			sub.Int(&options.EntryNodes, "n", "entry-nodes", "entry nodes in each zone in place of the deployment's own; 0 for those")
			sub.UInt64(&options.Seed, "e", "seed", "seed of all randomness")
			sub.Bool(&options.JSON, "j", "json", "write the results as JSON")
			sub.String(&options.Report, "r", "report", "write an HTML report with plots to this file")
		},
		Run: func(ctx context.Context, env *cli.Env) error {
			return Run(ctx, options, env.Stdout, env.Stderr)
		},
	}
}
