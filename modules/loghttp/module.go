// Package loghttp implements the module log.http, a client of the platform's log
// service over HTTP. docs/LOG-PROTOCOL.md specifies the protocol.
package loghttp

import (
	"context"
	"net/url"
	"time"

	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/settings"
)

// ID is the module's ID.
const ID kernel.ModuleID = "log.http"

// Options of the module.
const (
	OptionURL    = "url"    // base URL of the log service, such as "http://192.0.2.1:8080"
	OptionStream = "stream" // name of the stream, DefaultStream by default
)

// Defaults.
const (
	DefaultStream         = "burdockspindle"
	defaultConnectTimeout = time.Second
)

func init() { kernel.Register(&Module{}) }

// Module provides a Client as platlog.Log.
type Module struct {
	options options
	client  *Client
}

// options are the module's decoded options.
type options struct {
	base   *url.URL
	stream string
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: ID, New: func() kernel.Module { return &Module{} }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	config, err := kernel.Use[*settings.Settings](ctx)
	if err != nil {
		return err
	}
	m.options, err = decodeOptions(config.Log.Options)
	if err != nil {
		return err
	}
	connect := config.Limits.ConnectTimeout
	if connect <= 0 {
		connect = defaultConnectTimeout
	}
	m.client = NewClient(m.options.base, m.options.stream, connect)
	return kernel.Provide[platlog.Log](ctx, m.client)
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	m.client.Close()
	return nil
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	return struct {
		URL    string `json:"url"`
		Stream string `json:"stream"`
	}{m.options.base.Redacted(), m.options.stream}
}

// decodeOptions validates the options and rejects unknown ones.
func decodeOptions(given map[string]any) (options, error) {
	decoded := options{stream: DefaultStream}
	for name, value := range given {
		text, isText := value.(string)
		if !isText || text == "" {
			return options{}, &OptionError{Option: name, Problem: "must be a non-empty string"}
		}
		switch name {
		case OptionURL:
			base, err := parseBase(text)
			if err != nil {
				return options{}, err
			}
			decoded.base = base
		case OptionStream:
			decoded.stream = text
		default:
			return options{}, &OptionError{Option: name, Problem: "not known"}
		}
	}
	if decoded.base == nil {
		return options{}, &OptionError{Option: OptionURL, Problem: "missing"}
	}
	return decoded, nil
}

func parseBase(text string) (*url.URL, error) {
	base, err := url.Parse(text)
	if err != nil {
		return nil, &OptionError{Option: OptionURL, Problem: err.Error()}
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" || base.RawQuery != "" {
		return nil, &OptionError{Option: OptionURL, Problem: "must be an http:// or https:// URL with a host and without a query"}
	}
	return base, nil
}
