package ctl

import (
	"context"
	"flag"
	"math/rand/v2"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/protocol/ticketfile"
	"github.com/chestnutdyke/chestnutdyke/transport/store"
)

var applyCommand = command{
	name:    "ticket apply",
	args:    "FILE",
	summary: "Apply a ticket",
	help: `The ticket is checked against the configuration in force, merged into it, and
written by one conditional update, so it takes effect as a whole or not at all.

If the store's answer is lost, the command reads the configuration back and
reports whether the ticket took effect. With exit code 5 it could not find out
within -timeout; run the same command again: it does nothing if the ticket has
taken effect, and applies it otherwise.

With exit code 4 another operator applied a ticket with the same or a higher
number, or changed one of the same objects while this command ran. Look at
"ticket history", and check the ticket again under a new number.

A ticket with warnings is applied only with -accept-warnings.
`,
	setup: func(f *flag.FlagSet) func(context.Context, Env, []string) int {
		var c storeFlags
		c.register(f)
		acceptWarnings := f.Bool("accept-warnings", false, "apply the ticket although there are warnings")
		return func(ctx context.Context, env Env, args []string) int {
			return apply(ctx, env, &c, *acceptWarnings, args)
		}
	},
}

func apply(ctx context.Context, env Env, c *storeFlags, acceptWarnings bool, args []string) int {
	file, err := readTicket(env, args)
	if err != nil {
		return env.fail(err)
	}
	client, err := c.client(env)
	if err != nil {
		return env.fail(err)
	}
	defer client.Close()
	if problems := ticket.CheckStandalone(file.Ticket); file.Err(problems) != nil {
		return printResult(env, file, ticket.Result{Outcome: ticket.Invalid, Problems: c.allProblems(ctx, env, file, problems)})
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	runner := &applier{store: client, backoff: store.NewBackoff(rand.Float64)}
	return printResult(env, file, runner.run(ctx, ticket.NewApply(file.Ticket, acceptWarnings)))
}

// allProblems returns all problems of the ticket, including those that show only in
// comparison with the configuration in force, so that operators get every error at
// once. If the configuration cannot be read, it returns fileProblems.
func (c *storeFlags) allProblems(ctx context.Context, env Env, file *ticketfile.File, fileProblems []ticket.Problem) []ticket.Problem {
	object, err := c.readConfig(ctx, env)
	if err != nil {
		return fileProblems
	}
	_, problems := ticket.Check(object.Config, file.Ticket)
	return problems
}

// configStore is the part of the store client that applying a ticket needs.
type configStore interface {
	Get(ctx context.Context, name string) (object storeapi.Object, found bool, err error)
	Put(ctx context.Context, name string, put storeapi.Put) store.PutResult
}

// applier executes the steps that ticket.Apply decides on.
type applier struct {
	store     configStore
	backoff   store.Backoff
	lastError string // why the latest step failed
}

func (r *applier) run(ctx context.Context, a *ticket.Apply) ticket.Result {
	step := a.Start()
	for {
		switch s := step.(type) {
		case ticket.Read:
			step = a.Next(r.read(ctx, s))
		case ticket.Write:
			step = a.Next(r.write(ctx, s))
		case ticket.Finish:
			return s.Result
		}
	}
}

func (r *applier) read(ctx context.Context, s ticket.Read) ticket.Event {
	if s.Failures > 0 {
		r.backoff.Wait(ctx, s.Failures)
	}
	if ctx.Err() != nil {
		if r.lastError == "" {
			r.lastError = context.Cause(ctx).Error()
		}
		return ticket.GiveUp{Reason: r.lastError}
	}
	object, found, err := r.store.Get(ctx, storeapi.ConfigObject)
	switch {
	case err != nil:
		r.lastError = err.Error()
		return ticket.ReadFailed{Reason: r.lastError}
	case !found:
		return storedEvent(storeapi.Object{})
	default:
		return storedEvent(object)
	}
}

// storedEvent returns the event for an object read from the store; version 0 means
// that it does not exist. The ticket is not applied to an object that this release
// cannot decode in full, because writing it back would lose fields.
func storedEvent(object storeapi.Object) ticket.Event {
	if object.Version == 0 {
		return ticket.Stored{At: time.Now()}
	}
	decoded, err := ticketfile.DecodeObjectForUpdate(object.Value)
	if err != nil {
		return ticket.GiveUp{Reason: err.Error()}
	}
	return ticket.Stored{Version: object.Version, Object: decoded, At: time.Now()}
}

func (r *applier) write(ctx context.Context, s ticket.Write) ticket.Event {
	value, err := ticketfile.EncodeObject(s.Object)
	if err != nil {
		return ticket.GiveUp{Reason: err.Error()}
	}
	result := r.store.Put(ctx, storeapi.ConfigObject, storeapi.Put{Version: s.Version, Value: value})
	if result.Err != nil {
		r.lastError = result.Err.Error()
	}
	switch result.Outcome {
	case store.PutApplied:
		return ticket.Written{}
	case store.PutConflict:
		return storedEvent(result.Object)
	case store.PutRejected:
		return ticket.NotWritten{Reason: r.lastError}
	default:
		return ticket.WriteLost{Reason: r.lastError}
	}
}

// printResult prints the outcome of applying a ticket and returns the exit code.
func printResult(env Env, file *ticketfile.File, r ticket.Result) int {
	number := file.Ticket.ID.Number
	printProblems(env, file, r.Problems)
	switch r.Outcome {
	case ticket.Applied:
		if r.AppliedEarlier {
			env.printf("ticket %d was applied before; nothing to do\n", number)
			return ExitOK
		}
		env.printf("ticket %d applied, %d objects changed\n", number, len(r.Changes))
		printDiff(env, r.Changes)
		return ExitOK
	case ticket.Invalid:
		if file.Err(r.Problems) == nil {
			env.errorf("ticket %d was not applied; -accept-warnings applies it in spite of the warnings", number)
			return ExitError
		}
		env.errorf("ticket %d was not applied; it is not valid", number)
		return ExitError
	case ticket.Conflict:
		env.errorf("ticket %d was not applied: %s by %s", number, r.Reason, describeRecord(r.ConflictingRecord))
		return ExitConflict
	case ticket.NotApplied:
		env.errorf("ticket %d was not applied: %s", number, r.Reason)
		return ExitError
	default:
		env.errorf("ticket %d may have been applied: %s; run the same command again", number, r.Reason)
		return ExitUnknown
	}
}
