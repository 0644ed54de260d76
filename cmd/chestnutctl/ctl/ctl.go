// Package ctl implements the command line chestnutctl. It accesses the operating
// system only through Env, so tests call Run with their own network, files and
// writers.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/store"
)

// Exit codes, which scripts rely on.
const (
	ExitOK       = 0
	ExitError    = 1 // nothing was changed
	ExitUsage    = 2 // the command line was wrong
	ExitLagging  = 3 // a VM has not applied the ticket
	ExitConflict = 4 // another operator's ticket came first; nothing was changed
	ExitUnknown  = 5 // the answer was lost; the change may have been made
)

// DefaultTimeout is the longest time that a command tries to reach the store or
// a VM, unless -timeout says otherwise.
const DefaultTimeout = 10 * time.Second

// Env provides a command's access to the network, files, output and randomness.
type Env struct {
	Network  network.Network
	Stdout   io.Writer
	Stderr   io.Writer
	ReadFile func(path string) ([]byte, error)
	Random   io.Reader // source of new keys
}

// command is one command with its flags.
type command struct {
	name    string // as typed, such as "ticket apply"
	args    string // arguments after the flags, for the help text
	summary string // one line
	help    string // the rest of the help text
	// setup registers the flags and returns a function that runs the command with
	// the arguments after the flags and returns its exit code.
	setup func(f *flag.FlagSet) func(ctx context.Context, env Env, args []string) int
}

// Run executes the command line in args, which excludes the program's name, and
// returns the exit code.
func Run(ctx context.Context, env Env, args []string) int {
	c, rest := find(args)
	switch {
	case c != nil:
		return c.run(ctx, env, rest)
	case slices.ContainsFunc(args, isHelp):
		env.printf("%s", overview())
		return ExitOK
	default:
		env.errorf("unknown command; chestnutctl -h lists the commands")
		return ExitUsage
	}
}

func isHelp(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help" || arg == "help"
}

// find returns the command named by the first one or two arguments, or nil, and the
// remaining arguments.
func find(args []string) (*command, []string) {
	for _, words := range []int{2, 1} {
		if len(args) < words {
			continue
		}
		name := args[0]
		if words == 2 {
			name += " " + args[1]
		}
		for i := range commands {
			if commands[i].name == name {
				return &commands[i], args[words:]
			}
		}
	}
	return nil, nil
}

func (c *command) run(ctx context.Context, env Env, args []string) int {
	f := flag.NewFlagSet(c.name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	execute := c.setup(f)
	switch err := f.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		env.printf("%s", c.usage(f))
		return ExitOK
	case err != nil:
		env.errorf("%v; chestnutctl %s -h explains the command", err, c.name)
		return ExitUsage
	}
	return execute(ctx, env, f.Args())
}

func (env Env) printf(format string, args ...any) { _, _ = fmt.Fprintf(env.Stdout, format, args...) }

// errorf prints one line to Stderr.
func (env Env) errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(env.Stderr, "chestnutctl: "+format+"\n", args...)
}

// fail prints an error and returns the exit code for it.
func (env Env) fail(err error) int {
	env.errorf("%v", err)
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitError
}

func (env Env) printJSON(value any) int {
	e := json.NewEncoder(env.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		return env.fail(eris.Wrap(err, "the result cannot be printed"))
	}
	return ExitOK
}

// usageError is a mistake in the command line.
type usageError string

func (e usageError) Error() string { return string(e) }

// storeFlags holds the flags of commands that access the store.
type storeFlags struct {
	store   string
	timeout time.Duration
}

func (c *storeFlags) register(f *flag.FlagSet) {
	f.StringVar(&c.store, "store", "", "`host:port` of the platform's object API")
	f.DurationVar(&c.timeout, "timeout", DefaultTimeout, "longest time to try")
}

// client returns a client of the store; the caller closes it. The error is a
// usageError if -store is missing.
func (c *storeFlags) client(env Env) (*store.Client, error) {
	if c.store == "" {
		return nil, usageError("-store is missing")
	}
	return store.New(store.Options{Network: env.Network, Address: c.store}), nil
}

func expectNoArguments(args []string) error {
	if len(args) > 0 {
		return usageError(fmt.Sprintf("unexpected argument %q", args[0]))
	}
	return nil
}

func expectOneFile(args []string) (string, error) {
	if len(args) != 1 {
		return "", usageError("expected one file after the flags")
	}
	return args[0], nil
}
