package command

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"github.com/burdockspindle/burdockspindle/cli"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/standin/platformlog"
)

// Defaults of the stand-in log. The limits are those of the platform's service.
const (
	defaultLogAddress = "127.0.0.1:7100"
	defaultAppends    = 300
	defaultRetention  = time.Hour
)

func newLogCommand() cli.Command {
	address := defaultLogAddress
	appends := defaultAppends
	retention := defaultRetention
	maxRecords := 0
	return cli.Command{
		Name:        "standin log",
		Description: "Run a stand-in for the platform's log service; it keeps all records in memory.",
		Flags: func(sub *flaggy.Subcommand) {
			sub.String(&address, "l", "listen", "host:port")
			sub.Int(&appends, "", "appends-per-second", "maximum number of appends per second; 0 for no limit")
			sub.Duration(&retention, "", "keep-for", "retention time of a record; 0 for no limit")
			sub.Int(&maxRecords, "", "keep-records", "maximum number of records kept; 0 for no limit")
		},
		Run: func(ctx context.Context, env *cli.Env) error {
			if appends < 0 || retention < 0 || maxRecords < 0 {
				return &cli.UsageError{Problem: "standin log: limits must not be negative"}
			}
			config := platformlog.Config{
				Retention:        memlog.Retention{Records: maxRecords, Age: retention},
				AppendsPerSecond: appends,
			}
			return runLog(ctx, env, address, config)
		},
	}
}

func runLog(ctx context.Context, env *cli.Env, address string, config platformlog.Config) error {
	ctx, cancel := signalContext(ctx)
	defer cancel()
	listener, err := listen(address)
	if err != nil {
		return err
	}
	eventLogServing.Log(newLogger(env, "standin-log"), "address", listener.Addr().String())
	return serveHTTP(ctx, listener, platformlog.New(config))
}
