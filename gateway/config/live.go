package config

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/jsonc"
)

var (
	eventReloaded    = events.Define(2320, hclog.Info, "changed settings are in use")
	eventNotReloaded = events.Define(2321, hclog.Warn, "changed settings cannot be used, the earlier ones stay in use")
	eventNeedRestart = events.Define(2322, hclog.Warn, "changed settings need a restart")
)

// watchEvery is how often the settings file is read: it may change without a
// signal, and a change is to be in use within about two seconds.
const watchEvery = time.Second

// Live keeps a node's settings up to date with their file. Addresses, names and
// the driver stay as they were at the start; the rest changes while the node
// runs. It is safe for concurrent use.
type Live struct {
	file   string
	logger hclog.Logger

	mu       sync.Mutex
	text     []byte
	current  *Settings
	watchers []func(*Settings)
}

// NewLive returns settings that were loaded from a file.
func NewLive(file string, s *Settings, logger hclog.Logger) *Live {
	return &Live{file: file, current: s, logger: logger}
}

// Settings returns the present settings, which are not to be changed.
func (l *Live) Settings() *Settings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Watch has a function called with the settings after each change.
func (l *Live) Watch(changed func(*Settings)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers = append(l.watchers, changed)
}

// Run reads the file again and again, and at once when reload receives, until
// ctx ends.
func (l *Live) Run(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-reload:
		case <-ctx.Done():
			return
		}
		l.Reload()
	}
}

// Reload reads the file, and puts what has changed in use if it is valid.
func (l *Live) Reload() {
	text, err := os.ReadFile(l.file)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		eventNotReloaded.Log(l.logger, "file", l.file, "cause", err)
		return
	}
	if bytes.Equal(text, l.text) {
		return
	}
	l.text = text
	next, problems := Parse(text, l.file)
	if err := jsonc.ErrorOf(problems); err != nil {
		eventNotReloaded.Log(l.logger, "file", l.file, "cause", err)
		return
	}
	l.adopt(next)
}

// adopt takes the settings that can change while the node runs.
func (l *Live) adopt(next *Settings) {
	adopted := *l.current
	adopted.Seeds = next.Seeds
	adopted.Retries = next.Retries
	adopted.Timing.Grace = next.Timing.Grace
	adopted.Timing.Notice = next.Timing.Notice
	adopted.Place = next.Place
	adopted.LogLevel = next.LogLevel
	if !reflect.DeepEqual(&adopted, next) {
		eventNeedRestart.Log(l.logger, "file", l.file)
	}
	if reflect.DeepEqual(&adopted, l.current) {
		return
	}
	l.current = &adopted
	l.logger.SetLevel(hclog.LevelFromString(adopted.LogLevel))
	eventReloaded.Log(l.logger, "file", l.file, "seeds", adopted.Seeds, "retries", adopted.Retries.Ratio, "grace", adopted.Timing.Grace)
	for _, changed := range l.watchers {
		changed(&adopted)
	}
}
