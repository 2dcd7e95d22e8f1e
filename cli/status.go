package cli

import (
	"context"
	"encoding/json"

	"github.com/burdockspindle/burdockspindle/adminapi"
)

func init() {
	Register(newStatusCommand)
	Register(newDumpCommand)
	Register(newDrainCommand)
}

func newStatusCommand() Command {
	return adminCommand("status", "Print the status of a running node as JSON.",
		func(ctx context.Context, env *Env, client *adminapi.Client) error {
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			text, err := json.MarshalIndent(status, "", "  ")
			if err != nil {
				return &OutputError{Cause: err}
			}
			return printLine(env, string(text))
		})
}

func newDumpCommand() Command {
	return adminCommand("dump", "Print the state of every module of a running node as JSON.",
		func(ctx context.Context, env *Env, client *adminapi.Client) error {
			text, err := client.Dump(ctx)
			if err != nil {
				return err
			}
			if _, err := env.Stdout.Write(text); err != nil {
				return &OutputError{Cause: err}
			}
			return nil
		})
}

func newDrainCommand() Command {
	return adminCommand("drain", "Ask a running node to drain and stop; it cuts off no request in flight.",
		func(ctx context.Context, env *Env, client *adminapi.Client) error {
			if err := client.Drain(ctx); err != nil {
				return err
			}
			return printLine(env, "draining")
		})
}

// adminCommand returns a command that calls the administration API once and has no
// flags but adminFlags.
func adminCommand(name, description string, run func(context.Context, *Env, *adminapi.Client) error) Command {
	var flags adminFlags
	return Command{
		Name:        name,
		Description: description,
		Flags:       flags.declare,
		Run: func(ctx context.Context, env *Env) error {
			client, err := flags.client(env)
			if err != nil {
				return err
			}
			return run(ctx, env, client)
		},
	}
}
