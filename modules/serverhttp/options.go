package serverhttp

import (
	"net"
	"time"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/settings"
)

// Options of the driver, as durations and switches.
type Options struct {
	// ConnectTimeout bounds the opening of one connection, and the wait for a
	// connection's place in the share.
	ConnectTimeout time.Duration
	// SilentAfter is how long a connection may make no progress, while the
	// server is the one to make it.
	SilentAfter time.Duration
	// ControlSilentAfter is how long a renewal or acknowledgement may stay
	// unanswered on a connection that was used before, until a new connection
	// is tried.
	ControlSilentAfter time.Duration
	// IdleAfter closes connections that carried nothing for so long. Servers
	// must keep idle connections longer.
	IdleAfter time.Duration
	// ExpectProgress asks servers for 102 (Processing) responses while a
	// request is being run, and takes their absence for silence. Without it a
	// connection is judged silent only while an answer's body is read from it.
	ExpectProgress bool
	// MaxHeaderBytes bounds an answer's header.
	MaxHeaderBytes int64
	// Share returns how many connections for requests this process may have
	// open to a server; 0 for none at all.
	Share func(backend.Target) int
	// Dial opens connections; by default over the network.
	Dial backend.Dial
}

// Defaults of the options that the settings do not give.
const (
	defaultConnectTimeout     = 250 * time.Millisecond
	defaultSilentAfter        = 2 * time.Second
	defaultControlSilentAfter = 100 * time.Millisecond
	defaultIdleAfter          = 30 * time.Second
	defaultMaxHeaderBytes     = 64 << 10
)

// progressParts is how many times the server reports progress within
// SilentAfter, so that one late report is not taken for silence.
const progressParts = 4

// Names of the driver's options in the settings, under "servers".
const (
	optionControlSilentAfter = "controlSilentAfterMs" // default 100
	optionIdleAfter          = "idleAfterMs"          // default 30000
	optionExpectProgress     = "expectProgress"       // default true
)

// OptionsFrom reads the settings. Share is left out.
func OptionsFrom(s *settings.Settings) (Options, error) {
	options := Options{
		ConnectTimeout: s.Limits.ConnectTimeout,
		SilentAfter:    s.Limits.SilentAfter,
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
		return setMilliseconds(&o.ControlSilentAfter, name, value)
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

// withDefaults fills in what is not set.
func (o Options) withDefaults() Options {
	setDefault(&o.ConnectTimeout, defaultConnectTimeout)
	setDefault(&o.SilentAfter, defaultSilentAfter)
	setDefault(&o.ControlSilentAfter, defaultControlSilentAfter)
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
