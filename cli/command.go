// Package cli is the command line of the burdockspindle program. Commands
// register themselves; Main parses the arguments, runs one and turns its error
// into an exit code.
package cli

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/integrii/flaggy"
)

// Env is what a command may touch of its surroundings.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
}

// Command is one subcommand for one invocation.
type Command struct {
	// Name is the words that select it, for example "publish" or "standin log".
	Name        string
	Description string
	// Flags declares flags and positional values; nil for none.
	Flags func(*flaggy.Subcommand)
	// Run does the work. An error with an ExitCode method chooses the exit
	// code, any other one gives ExitFailure.
	Run func(ctx context.Context, env *Env) error
}

var (
	registryMu sync.RWMutex
	factories  []func() Command
)

// Register adds a command. The factory is called once for each invocation, so
// that flag variables start from their defaults. It is called from init() or
// main; a repeated name panics.
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

// commands returns fresh commands by name.
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
