package command

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/cli"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/standin/platformlog"
)

// Defaults of the stand-in log: what the platform's service gives.
const (
	defaultLogAddress = "127.0.0.1:7100"
	defaultAppends    = 300
	defaultKeepFor    = time.Hour
)

func newLogCommand() cli.Command {
	address := defaultLogAddress
	appends := defaultAppends
	keepFor := defaultKeepFor
	keepRecords := 0
	return cli.Command{
		Name:        "standin log",
		Description: "Run a stand-in for the platform's log service; it keeps everything in memory.",
		Flags: func(sub *flaggy.Subcommand) {
			sub.String(&address, "l", "listen", "host:port")
			sub.Int(&appends, "", "appends-per-second", "most appends a second; 0 for no limit")
			sub.Duration(&keepFor, "", "keep-for", "how long a record is kept; 0 for ever")
			sub.Int(&keepRecords, "", "keep-records", "most records kept; 0 for no limit")
		},
		Run: func(ctx context.Context, env *cli.Env) error {
			if appends < 0 || keepFor < 0 || keepRecords < 0 {
				return &cli.UsageError{Problem: "standin log: limits must not be negative"}
			}
			config := platformlog.Config{
				Retention:        memlog.Retention{Records: keepRecords, Age: keepFor},
				AppendsPerSecond: appends,
			}
			return runLog(ctx, env, address, config)
		},
	}
}

func runLog(ctx context.Context, env *cli.Env, address string, config platformlog.Config) error {
	ctx, cancel := untilSignal(ctx)
	defer cancel()
	listener, err := listen(address)
	if err != nil {
		return err
	}
	eventLogServes.Log(newLogger(env, "standin-log"), "address", listener.Addr().String())
	return serveHTTP(ctx, listener, platformlog.New(config))
}
