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

// reloadInterval is how often the settings file is read: it may change without a
// signal, and a change is to be in use within about two seconds.
const reloadInterval = time.Second

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
func (l *Live) Watch(watcher func(*Settings)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers = append(l.watchers, watcher)
}

// Run reads the file again and again, and at once when reload receives, until
// ctx ends.
func (l *Live) Run(ctx context.Context, reload <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
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
	l.apply(next)
}

// apply takes the settings that can change while the node runs.
func (l *Live) apply(next *Settings) {
	applied := *l.current
	applied.Seeds = next.Seeds
	applied.Retries = next.Retries
	applied.Timing.Grace = next.Timing.Grace
	applied.Timing.Notice = next.Timing.Notice
	applied.Place = next.Place
	applied.LogLevel = next.LogLevel
	if !reflect.DeepEqual(&applied, next) {
		eventNeedRestart.Log(l.logger, "file", l.file)
	}
	if reflect.DeepEqual(&applied, l.current) {
		return
	}
	l.current = &applied
	l.logger.SetLevel(hclog.LevelFromString(applied.LogLevel))
	eventReloaded.Log(l.logger, "file", l.file, "seeds", applied.Seeds, "retries", applied.Retries.Ratio, "grace", applied.Timing.Grace)
	for _, watcher := range l.watchers {
		watcher(&applied)
	}
}
