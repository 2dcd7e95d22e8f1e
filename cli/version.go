package cli

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
)

// Version is the release. The linker sets it with -X; otherwise it is "devel".
var Version = "devel"

func init() { Register(newVersionCommand) }

func newVersionCommand() Command {
	return Command{
		Name:        "version",
		Description: "Print the release, the commit and the Go version.",
		Run: func(_ context.Context, env *Env) error {
			_, err := fmt.Fprintf(env.Stdout, "%s %s commit %s %s\n", program, Version, commit(), runtime.Version())
			if err != nil {
				return &OutputError{Cause: err}
			}
			return nil
		},
	}
}

// commit returns the commit from which the binary was built, or "unknown".
func commit() string {
	info, exists := debug.ReadBuildInfo()
	if !exists {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown"
}
