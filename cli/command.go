// Package cli implements the command line of the burdockspindle program. Commands
// register themselves; Main parses the arguments, runs a command and maps its
// error to an exit code.
package cli

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/integrii/flaggy"
)

// Env is the environment of a command: its output streams and the environment
// variables.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
}

// Command is a subcommand, created anew for each invocation.
type Command struct {
	// Name is the one or two words that select the command, for example "publish"
	// or "standin log".
	Name        string
	Description string
	// Flags declares flags and positional values; nil for none.
	Flags func(*flaggy.Subcommand)
	// Run executes the command. An ExitCoder error determines the exit code; any
	// other error results in ExitFailure.
	Run func(ctx context.Context, env *Env) error
}

var (
	registryMu sync.RWMutex
	factories  []func() Command
)

// Register adds a command. The factory is called for each invocation, so that
// flag variables start from their defaults. Register is called from init() or
// main, and panics on a duplicate name.
func Register(factory func() Command) {
	registryMu.Lock()
	defer registryMu.Unlock()
	name := factory().Name
	for _, other := range factories {
		if other().Name == name {
			panic(&DuplicateCommandError{Name: name})
		}
	}
	factories = append(factories, factory)
}

// commands creates all registered commands and returns them sorted by name.
func commands() []Command {
	registryMu.RLock()
	defer registryMu.RUnlock()
	all := make([]Command, len(factories))
	for i, factory := range factories {
		all[i] = factory()
	}
	slices.SortFunc(all, func(a, b Command) int { return strings.Compare(a.Name, b.Name) })
	return all
}
