// Package vmshttp is the module vms.http: it reads the platform's VM list as
// JSON over HTTP, in the form that package vmlist documents. A list that has not
// changed is not sent again, where the platform's answers carry an ETag.
package vmshttp

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/metrics"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// Driver options.
const (
	optionURL       = "url"       // of the list, for example http://10.0.0.1:7100/vms
	optionTimeoutMs = "timeoutMs" // of one read, default 1000
)

const defaultTimeout = time.Second

// Metrics of all nodes in this process, under "vm_list".
var (
	metricGroup     = metrics.New("vm_list")
	metricReads     = metricGroup.Counter("reads")
	metricUnchanged = metricGroup.Counter("reads_unchanged")
	metricFailures  = metricGroup.Counter("read_failures")
	metricSkipped   = metricGroup.Counter("rows_skipped")
)

func init() { kernel.Register(&Module{}) }

// Module implements kernel.Module.
type Module struct {
	url       string
	timeout   time.Duration
	logger    hclog.Logger
	transport *http.Transport

	mu        sync.Mutex
	latest    answer
	lastRead  time.Time
	lastError string
}

var _ vmlist.List = (*Module)(nil)

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "vms.http", New: func() kernel.Module { return new(Module) }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	s, err := kernel.Use[*settings.Settings](ctx)
	if err != nil {
		return err
	}
	m.logger = ctx.Logger.Named("vms")
	m.timeout = defaultTimeout
	for key, value := range s.VMs.Options {
		if err := m.setOption(key, value); err != nil {
			return err
		}
	}
	if m.url == "" {
		return &OptionError{Key: optionURL}
	}
	m.transport = &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2, IdleConnTimeout: time.Minute}
	return kernel.Provide[vmlist.List](ctx, m)
}

func (m *Module) setOption(key string, value any) error {
	switch key {
	case optionURL:
		text, _ := value.(string)
		parsed, err := url.Parse(text)
		if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
			return &OptionError{Key: key}
		}
		m.url = text
	case optionTimeoutMs:
		ms, isNumber := value.(float64)
		if !isNumber || ms < 1 {
			return &OptionError{Key: key}
		}
		m.timeout = time.Duration(ms * float64(time.Millisecond))
	default:
		return &OptionError{Key: key}
	}
	return nil
}

// answer is a list as it was read, with the tag by which the platform says that
// it has not changed since.
type answer struct {
	vms     []vmlist.VM
	skipped int
	tag     string // empty when the platform gave none
}

// VMs implements vmlist.List.
func (m *Module) VMs(ctx context.Context) ([]vmlist.VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	metricReads.Add(1)
	read, err := m.read(ctx)
	m.note(read, err)
	return slices.Clone(read.vms), err
}

// read asks for the list, or whether it changed since it was last read.
func (m *Module) read(ctx context.Context) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, m.url, nil)
	if err != nil {
		return answer{}, &vmlist.UnavailableError{Cause: err}
	}
	latest := m.lastAnswer()
	if latest.tag != "" {
		request.Header.Set("If-None-Match", latest.tag)
	}
	response, err := m.transport.RoundTrip(request)
	if err != nil {
		return answer{}, m.failed(err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return m.decode(response)
	case http.StatusNotModified:
		if latest.tag != "" {
			metricUnchanged.Add(1)
			return latest, nil
		}
	}
	return answer{}, &vmlist.UnavailableError{Cause: &StatusError{Code: response.StatusCode}}
}

func (m *Module) decode(response *http.Response) (answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, vmlist.MaxBytes+1))
	if err != nil {
		return answer{}, m.failed(err)
	}
	vms, skipped, err := vmlist.Decode(body)
	if err != nil {
		return answer{}, err
	}
	return answer{vms: vms, skipped: skipped, tag: response.Header.Get("ETag")}, nil
}

func (m *Module) lastAnswer() answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latest
}

// failed closes the connection that a read failed on, if it is idle; one that a
// read was given up on is closed already. The next read opens a new one.
func (m *Module) failed(cause error) error {
	m.transport.CloseIdleConnections()
	return &vmlist.UnavailableError{Cause: cause}
}

func (m *Module) note(read answer, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		metricFailures.Add(1)
		if m.lastError == "" {
			eventUnavailable.Log(m.logger, "url", m.url, "error", err)
		}
		m.lastError = err.Error()
		return
	}
	if read.skipped > 0 && read.skipped != m.latest.skipped {
		eventRowsSkipped.Log(m.logger, "rows", read.skipped)
	}
	if m.lastError != "" {
		eventBack.Log(m.logger, "url", m.url)
	}
	metricSkipped.Add(int64(read.skipped))
	m.lastRead, m.latest, m.lastError = time.Now(), read, ""
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	m.transport.CloseIdleConnections()
	return nil
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return struct {
		URL      string    `json:"url"`
		LastRead time.Time `json:"lastRead"`
		Rows     int       `json:"rows"`
		Skipped  int       `json:"skipped"`
		Error    string    `json:"error,omitempty"`
	}{m.url, m.lastRead, len(m.latest.vms), m.latest.skipped, m.lastError}
}

// OptionError reports a driver option that is missing, unknown or wrong.
type OptionError struct{ Key string }

// Error implements error.
func (e *OptionError) Error() string {
	return `VM list driver "http": option "` + e.Key + `" is missing or wrong: url is an http or https URL, timeoutMs at least 1`
}

// StatusError reports an HTTP status other than 200.
type StatusError struct{ Code int }

// Error implements error.
func (e *StatusError) Error() string { return "HTTP status " + strconv.Itoa(e.Code) }
