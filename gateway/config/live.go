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
	eventReloaded    = events.Define(2320, hclog.Info, "changed settings applied")
	eventNotReloaded = events.Define(2321, hclog.Warn, "changed settings cannot be loaded; the previous settings stay in use")
	eventNeedRestart = events.Define(2322, hclog.Warn, "changed settings need a restart to take effect")
)

// reloadInterval is the interval at which the settings file is read. The file may change
// without a signal, and a change must take effect within about two seconds.
const reloadInterval = time.Second

// Live keeps a node's settings up to date with their file. Some settings, such as
// listen addresses, names and the driver, keep their values from the start; apply takes
// over those that can change at run time. It is safe for concurrent use.
type Live struct {
	file   string
	logger hclog.Logger

	mu       sync.Mutex
	text     []byte
	current  *Settings
	watchers []func(*Settings)
}

// NewLive returns a Live for settings that were loaded from a file.
func NewLive(file string, s *Settings, logger hclog.Logger) *Live {
	return &Live{file: file, current: s, logger: logger}
}

// Settings returns the current settings, which must not be modified.
func (l *Live) Settings() *Settings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Watch registers a function that is called with the settings after each change. It is
// called with the lock held and must not call methods of Live.
func (l *Live) Watch(watcher func(*Settings)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers = append(l.watchers, watcher)
}

// Run reloads the file at every reloadInterval, and at once when reload receives, until
// ctx is done.
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

// Reload reads the file and applies its changes if it is valid.
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

// apply applies the settings that can change at run time. l.mu must be held.
func (l *Live) apply(next *Settings) {
	applied := *l.current
	applied.Seeds = next.Seeds
	applied.Retries = next.Retries
	applied.Timing.Grace = next.Timing.Grace
	applied.Timing.Notice = next.Timing.Notice
	applied.Placement = next.Placement
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
