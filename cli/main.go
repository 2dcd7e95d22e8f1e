package cli

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
)

// program is the name of the program in help texts.
const program = "burdockspindle"

// invocation is the parser of one command line, with the command of each leaf
// subcommand.
type invocation struct {
	parser *flaggy.Parser
	leaves map[*flaggy.Subcommand]Command
}

// Main parses the arguments (without the program's name), runs the command and
// returns the exit code. Errors are written to env.Stderr, one problem per line.
func Main(ctx context.Context, args []string, env *Env) int {
	inv := newInvocation(commands())
	if code, stopped := inv.parse(args, env); stopped {
		return code
	}
	command, isLeaf := inv.leaves[inv.parser.TrailingSubcommand()]
	if !isLeaf {
		inv.parser.ShowHelpWithMessage("a command is needed")
		return ExitUsage
	}
	if err := command.Run(ctx, env); err != nil {
		_, _ = fmt.Fprintln(env.Stderr, err.Error())
		return exitCode(err)
	}
	return ExitOK
}

func exitCode(err error) int {
	var coder ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return ExitFailure
}

func newInvocation(all []Command) *invocation {
	inv := &invocation{parser: flaggy.NewParser(program), leaves: map[*flaggy.Subcommand]Command{}}
	inv.parser.Description = "Routes each request to the one server that owns its key."
	inv.parser.ShowCompletion = false
	inv.parser.DisableShowVersionWithVersion()
	groups := map[string]*flaggy.Subcommand{}
	for _, command := range all {
		inv.attach(command, groups)
	}
	return inv
}

// attach adds a command. The first word of a two-word name is the group to which
// the command belongs.
func (inv *invocation) attach(command Command, groups map[string]*flaggy.Subcommand) {
	group, name, isGrouped := strings.Cut(command.Name, " ")
	parent := &inv.parser.Subcommand
	if isGrouped {
		parent = groups[group]
		if parent == nil {
			parent = flaggy.NewSubcommand(group)
			parent.Description = "Commands of the group " + group + "; see " + program + " " + group + " --help."
			groups[group] = parent
			inv.parser.AttachSubcommand(parent, 1)
		}
	} else {
		name = group
	}
	leaf := flaggy.NewSubcommand(name)
	leaf.Description = command.Description
	if command.Flags != nil {
		command.Flags(leaf)
	}
	parent.AttachSubcommand(leaf, 1)
	inv.leaves[leaf] = command
}

// exitMark precedes the exit code in the value with which flaggy panics instead of
// exiting.
const exitMark = "code: "

// parse parses the arguments with flaggy, which exits on invalid arguments and on
// help unless it is configured to panic. stopped reports whether flaggy would have
// exited, with the exit code code.
func (inv *invocation) parse(args []string, env *Env) (code int, stopped bool) {
	flaggy.PanicInsteadOfExit = true
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		text, isText := cause.(string)
		_, digits, hasCode := strings.Cut(text, exitMark)
		status, err := strconv.Atoi(digits)
		if !isText || !hasCode || err != nil {
			panic(cause)
		}
		code, stopped = status, true
	}()
	if err := inv.parser.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(env.Stderr, err.Error())
		return ExitUsage, true
	}
	return ExitOK, false
}
