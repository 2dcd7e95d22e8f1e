// Package vmshttp implements the module vms.http, which reads the platform's VM
// list as JSON over HTTP in the format that package vmlist documents. If the
// platform's responses carry an ETag, an unchanged list is not transferred again.
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
	optionURL       = "url"       // URL of the list, for example http://10.0.0.1:7100/vms
	optionTimeoutMs = "timeoutMs" // timeout of one read in milliseconds, 1000 by default
)

const defaultTimeout = time.Second // of one read

// Metrics of all nodes in this process, under "vm_list".
var (
	metricGroup     = metrics.New("vm_list")
	metricReads     = metricGroup.Counter("reads")
	metricUnchanged = metricGroup.Counter("reads_unchanged")
	metricFailures  = metricGroup.Counter("read_failures")
	metricSkipped   = metricGroup.Counter("rows_skipped")
)

func init() { kernel.Register(&Module{}) }

// Module reads the VM list of the platform and provides it as vmlist.List.
type Module struct {
	url       string
	timeout   time.Duration
	logger    hclog.Logger
	transport *http.Transport

	mu        sync.Mutex // guards the fields below
	latest    fetchedList
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

// fetchedList is a decoded VM list with its ETag, by which the platform reports
// that the list has not changed.
type fetchedList struct {
	vms     []vmlist.VM
	skipped int
	etag    string // empty if the response had no ETag
}

// VMs implements vmlist.List.
func (m *Module) VMs(ctx context.Context) ([]vmlist.VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	metricReads.Add(1)
	read, err := m.read(ctx)
	m.recordRead(read, err)
	return slices.Clone(read.vms), err
}

// read fetches the list. If an ETag is known, the request is conditional and an
// unchanged list is returned from the previous read.
func (m *Module) read(ctx context.Context) (fetchedList, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, m.url, nil)
	if err != nil {
		return fetchedList{}, &vmlist.UnavailableError{Cause: err}
	}
	latest := m.latestList()
	if latest.etag != "" {
		request.Header.Set("If-None-Match", latest.etag)
	}
	response, err := m.transport.RoundTrip(request)
	if err != nil {
		return fetchedList{}, m.unavailable(err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return m.decode(response)
	case http.StatusNotModified:
		if latest.etag != "" {
			metricUnchanged.Add(1)
			return latest, nil
		}
	}
	return fetchedList{}, &vmlist.UnavailableError{Cause: &StatusError{Code: response.StatusCode}}
}

func (m *Module) decode(response *http.Response) (fetchedList, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, vmlist.MaxBytes+1))
	if err != nil {
		return fetchedList{}, m.unavailable(err)
	}
	vms, skipped, err := vmlist.Decode(body)
	if err != nil {
		return fetchedList{}, err
	}
	return fetchedList{vms: vms, skipped: skipped, etag: response.Header.Get("ETag")}, nil
}

func (m *Module) latestList() fetchedList {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latest
}

// unavailable closes the idle connections after a failed read and returns the
// failure as *vmlist.UnavailableError. The connection of a read that timed out is
// closed already, so the next read opens a new one.
func (m *Module) unavailable(cause error) error {
	m.transport.CloseIdleConnections()
	return &vmlist.UnavailableError{Cause: cause}
}

// recordRead updates the state and metrics with the result of a read. It logs the
// first failure of an outage, the end of the outage, and a changed number of
// skipped rows.
func (m *Module) recordRead(read fetchedList, err error) {
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
		eventAvailableAgain.Log(m.logger, "url", m.url)
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

// OptionError reports a driver option that is missing, unknown or invalid.
type OptionError struct{ Key string }

// Error implements error.
func (e *OptionError) Error() string {
	return `VM list driver "http": option "` + e.Key + `" is missing or invalid: url must be an http or https URL, timeoutMs at least 1`
}

// StatusError reports an HTTP status other than 200, or other than 304 in response
// to a conditional request.
type StatusError struct{ Code int }

// Error implements error.
func (e *StatusError) Error() string { return "HTTP status " + strconv.Itoa(e.Code) }
