package serverhttp

import (
	"net"
	"time"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/settings"
)

// Options configures the driver.
type Options struct {
	// ConnectTimeout limits the time for opening one connection, and the wait for
	// a slot in the share.
	ConnectTimeout time.Duration
	// StallTimeout is the time after which a connection without progress is treated
	// as stalled. It runs only while the next progress is due from the server.
	StallTimeout time.Duration
	// ControlStallTimeout is the timeout of a renewal or acknowledgement on a reused
	// connection, after which a new connection is tried.
	ControlStallTimeout time.Duration
	// IdleAfter is the idle time after which a connection is closed. Servers must
	// keep idle connections longer.
	IdleAfter time.Duration
	// ExpectProgress requests 102 (Processing) responses from servers while a
	// request runs; without them the connection is treated as stalled. If it is
	// false, a connection can stall only while a response body is read from it.
	ExpectProgress bool
	// MaxHeaderBytes limits the size of a response's header.
	MaxHeaderBytes int64
	// Share returns the maximum number of connections for requests that this
	// process may have open to a server; 0 means none.
	Share func(backend.Target) int
	// Dial opens connections; the default is a net.Dialer.
	Dial backend.Dial
}

// Defaults of options that are not set.
const (
	defaultConnectTimeout      = 250 * time.Millisecond
	defaultStallTimeout        = 2 * time.Second
	defaultControlStallTimeout = 100 * time.Millisecond
	defaultIdleAfter           = 30 * time.Second
	defaultMaxHeaderBytes      = 64 << 10
)

// progressReportsPerTimeout is the number of progress reports of a server within StallTimeout,
// so that one late report does not make the connection appear stalled.
const progressReportsPerTimeout = 4

// Names of the driver's options in the settings, under "servers".
const (
	optionControlSilentAfter = "controlSilentAfterMs" // default 100
	optionIdleAfter          = "idleAfterMs"          // default 30000
	optionExpectProgress     = "expectProgress"       // default true
)

// OptionsFrom returns the options from the settings; Share is not set.
func OptionsFrom(s *settings.Settings) (Options, error) {
	options := Options{
		ConnectTimeout: s.Limits.ConnectTimeout,
		StallTimeout:   s.Limits.StallTimeout,
		MaxHeaderBytes: int64(s.Limits.MaxHeaderBytes),
		ExpectProgress: true,
	}
	for name, value := range s.Servers.Options {
		if err := options.set(name, value); err != nil {
			return Options{}, err
		}
	}
	return options, nil
}

func (o *Options) set(name string, value any) error {
	switch name {
	case optionControlSilentAfter:
		return setMilliseconds(&o.ControlStallTimeout, name, value)
	case optionIdleAfter:
		return setMilliseconds(&o.IdleAfter, name, value)
	case optionExpectProgress:
		expect, isBool := value.(bool)
		if !isBool {
			return &OptionError{Name: name, Problem: "must be true or false"}
		}
		o.ExpectProgress = expect
		return nil
	}
	return &OptionError{Name: name, Problem: "not an option of servers.http"}
}

func setMilliseconds(target *time.Duration, name string, value any) error {
	ms, isNumber := value.(float64)
	if !isNumber || ms < 1 {
		return &OptionError{Name: name, Problem: "must be a number of milliseconds, at least 1"}
	}
	*target = time.Duration(ms * float64(time.Millisecond))
	return nil
}

// withDefaults returns the options with defaults for those that are not set.
func (o Options) withDefaults() Options {
	setDefault(&o.ConnectTimeout, defaultConnectTimeout)
	setDefault(&o.StallTimeout, defaultStallTimeout)
	setDefault(&o.ControlStallTimeout, defaultControlStallTimeout)
	setDefault(&o.IdleAfter, defaultIdleAfter)
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	if o.Share == nil {
		o.Share = func(backend.Target) int { return 1 }
	}
	return o
}

func setDefault(target *time.Duration, value time.Duration) {
	if *target <= 0 {
		*target = value
	}
}
