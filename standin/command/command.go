// Package command provides the commands "standin log", "standin vms" and "standin
// server", which run the platform's stand-ins and stand-in backend servers as
// separate processes.
package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/cli"
)

func init() {
	cli.Register(newLogCommand)
	cli.Register(newVMsCommand)
	cli.Register(newServerCommand)
}

const (
	readHeaderTimeout = 10 * time.Second
	stopTimeout       = 10 * time.Second
)

// signalContext returns a context that ends on SIGTERM or SIGINT.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

func newLogger(env *cli.Env, name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Info, Output: env.Stderr})
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return listener, nil
}

// serveHTTP serves HTTP on a listener until ctx ends.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &ServeError{Address: listener.Addr().String(), Cause: err}
}
