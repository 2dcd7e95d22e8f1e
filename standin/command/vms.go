package command

import (
	"context"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/cli"
	"github.com/burdockspindle/burdockspindle/standin/vms"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// Defaults of the stand-in VM list.
const (
	defaultVMsAddress = "127.0.0.1:7200"
	defaultLag        = 500 * time.Millisecond
)

func newVMsCommand() cli.Command {
	address := defaultVMsAddress
	lag := defaultLag
	file := ""
	return cli.Command{
		Name:        "standin vms",
		Description: "Run a stand-in for the platform's list of VMs.",
		Flags: func(sub *flaggy.Subcommand) {
			sub.String(&address, "l", "listen", "host:port")
			sub.Duration(&lag, "", "lag", "delay until the list shows a change")
			sub.String(&file, "f", "file", "JSON file with the initial rows")
		},
		Run: func(ctx context.Context, env *cli.Env) error {
			if lag < 0 {
				return &cli.UsageError{Problem: "standin vms: --lag must not be negative"}
			}
			platform, err := newPlatform(file, lag)
			if err != nil {
				return err
			}
			return runVMs(ctx, env, address, platform)
		},
	}
}

// newPlatform returns a platform with the VMs of a file, or without VMs if file is
// empty.
func newPlatform(file string, lag time.Duration) (*vms.Platform, error) {
	platform := vms.New()
	if file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, &cli.FileError{File: file, Cause: err}
		}
		rows, skipped, err := vmlist.Decode(text)
		if err == nil && skipped > 0 {
			err = &vmlist.MalformedError{Problem: "a row is not usable"}
		}
		if err != nil {
			return nil, &cli.FileError{File: file, Cause: err}
		}
		for _, row := range rows {
			platform.Put(row)
		}
	}
	platform.SetFaults(vms.Faults{ShowLag: lag, HideLag: lag})
	return platform, nil
}

func runVMs(ctx context.Context, env *cli.Env, address string, platform *vms.Platform) error {
	ctx, cancel := signalContext(ctx)
	defer cancel()
	listener, err := listen(address)
	if err != nil {
		return err
	}
	eventVMsServing.Log(newLogger(env, "standin-vms"), "address", listener.Addr().String())
	return vms.Serve(ctx, listener, platform)
}
