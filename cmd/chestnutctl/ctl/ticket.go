package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/protocol/ticketfile"
)

var checkCommand = command{
	name:    "ticket check",
	args:    "FILE",
	summary: "Check a ticket and show what it would change; nothing is changed",
	help: `All errors and warnings are printed with their lines. Without -store the file
is checked by itself: references to other objects, the number and the changes
are then not checked.
`,
	setup: ticketCommand(func(ctx context.Context, env Env, c *storeFlags, file *ticketfile.File) int {
		if c.store == "" {
			return checkFileOnly(env, file)
		}
		return compareWithConfig(ctx, env, c, file, true)
	}),
}

var diffCommand = command{
	name:    "ticket diff",
	args:    "FILE",
	summary: "Show what a ticket would change; nothing is changed",
	help: `Unlike "ticket check" it does not check the result, so it also compares a
ticket that is in force already or is not valid yet.
`,
	setup: ticketCommand(func(ctx context.Context, env Env, c *storeFlags, file *ticketfile.File) int {
		return compareWithConfig(ctx, env, c, file, false)
	}),
}

// ticketCommand returns the setup of a command that takes one ticket file and can
// access the store.
func ticketCommand(f func(context.Context, Env, *storeFlags, *ticketfile.File) int) func(*flag.FlagSet) func(context.Context, Env, []string) int {
	return func(flags *flag.FlagSet) func(context.Context, Env, []string) int {
		var c storeFlags
		c.register(flags)
		return func(ctx context.Context, env Env, args []string) int {
			file, err := readTicket(env, args)
			if err != nil {
				return env.fail(err)
			}
			return f(ctx, env, &c, file)
		}
	}
}

func readTicket(env Env, args []string) (*ticketfile.File, error) {
	path, err := expectOneFile(args)
	if err != nil {
		return nil, err
	}
	data, err := env.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "the ticket cannot be read")
	}
	return ticketfile.Parse(path, data), nil
}

func checkFileOnly(env Env, file *ticketfile.File) int {
	problems := ticket.CheckStandalone(file.Ticket)
	printProblems(env, file, problems)
	if file.Err(problems) != nil {
		return ExitError
	}
	env.printf("ticket %d is well formed; give -store to check it against the configuration in force\n", file.Ticket.ID.Number)
	return ExitOK
}

// compareWithConfig prints what a ticket would change in the configuration in force
// and, with check set, its problems.
func compareWithConfig(ctx context.Context, env Env, c *storeFlags, file *ticketfile.File, check bool) int {
	object, err := c.readConfig(ctx, env)
	if err != nil {
		return env.fail(err)
	}
	merged, problems := ticket.Check(object.Config, file.Ticket)
	if !check {
		problems = nil
	}
	printProblems(env, file, problems)
	if err := file.Err(problems); err != nil {
		return ExitError
	}
	changes := ticket.Diff(object.Config, merged)
	env.printf("ticket %d changes %d objects\n", file.Ticket.ID.Number, len(changes))
	printDiff(env, changes)
	return ExitOK
}

// readConfig reads the configuration from the store. It returns an empty
// configuration if the store has none yet.
func (c *storeFlags) readConfig(ctx context.Context, env Env) (*ticket.Object, error) {
	client, err := c.client(env)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	object, found, err := client.Get(ctx, storeapi.ConfigObject)
	switch {
	case err != nil:
		return nil, err
	case !found:
		return &ticket.Object{Config: ticket.EmptyConfig()}, nil
	default:
		return ticketfile.DecodeObject(object.Value)
	}
}

var showCommand = command{
	name:    "ticket show",
	summary: "Show the configuration in force in the form of a ticket",
	help: `The output is a ticket file with the whole state of every object. Copy an
object from there into a new ticket to change it.
`,
	setup: configCommand(show),
}

var historyCommand = command{
	name:    "ticket history",
	summary: "List the latest tickets, the newest first",
	help: `The store keeps the records of the last 100 tickets.
`,
	setup: configCommand(history),
}

// configCommand returns the setup of a command that reads the configuration and
// takes no arguments.
func configCommand(f func(env Env, o *ticket.Object, asJSON bool) int) func(*flag.FlagSet) func(context.Context, Env, []string) int {
	return func(flags *flag.FlagSet) func(context.Context, Env, []string) int {
		var c storeFlags
		c.register(flags)
		asJSON := flags.Bool("json", false, "print JSON")
		return func(ctx context.Context, env Env, args []string) int {
			if err := expectNoArguments(args); err != nil {
				return env.fail(err)
			}
			o, err := c.readConfig(ctx, env)
			if err != nil {
				return env.fail(err)
			}
			return f(env, o, *asJSON)
		}
	}
}

func show(env Env, o *ticket.Object, asJSON bool) int {
	if asJSON {
		data, err := ticketfile.EncodeConfig(o.Config)
		if err != nil {
			return env.fail(err)
		}
		return env.printJSON(json.RawMessage(data))
	}
	c := o.Config
	latest := ticket.Record{}
	if n := len(o.Records); n > 0 {
		latest = o.Records[n-1]
		env.printf("# %s\n", describeRecord(latest))
	}
	text, err := ticketfile.Format(&ticket.Ticket{
		ID: c.Ticket, Operator: latest.Operator, Reason: latest.Reason,
		Customers: c.Customers, Groups: c.Groups, Routes: c.Routes, DataCentres: c.DataCentres,
	})
	if err != nil {
		return env.fail(err)
	}
	env.printf("%s", text)
	return ExitOK
}

// recordJSON is the JSON form of a ticket record, as printed with -json.
type recordJSON struct {
	Ticket      uint64    `json:"ticket"`
	Digest      string    `json:"digest"`
	Operator    string    `json:"operator"`
	Reason      string    `json:"reason"`
	Time        time.Time `json:"time"`
	Changed     []string  `json:"changed"`
	ChangedMore int       `json:"changed_more"` // number of changed objects not listed in Changed
}

func history(env Env, o *ticket.Object, asJSON bool) int {
	list := make([]recordJSON, 0, len(o.Records))
	for i := len(o.Records) - 1; i >= 0; i-- {
		r := o.Records[i]
		list = append(list, recordJSON{r.ID.Number, r.ID.Digest, r.Operator, r.Reason, r.Time, r.Changed, r.ChangedMore})
	}
	if asJSON {
		return env.printJSON(list)
	}
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ticket\ttime\toperator\treason\tchanged")
	for _, r := range list {
		changed := strings.Join(r.Changed, " ")
		if r.ChangedMore > 0 {
			changed += fmt.Sprintf(" and %d more", r.ChangedMore)
		}
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", r.Ticket, r.Time.Format(time.RFC3339), r.Operator, r.Reason, changed)
	}
	_ = w.Flush()
	return ExitOK
}

func describeRecord(r ticket.Record) string {
	text := fmt.Sprintf("ticket %d", r.ID.Number)
	if r.Operator != "" {
		text += fmt.Sprintf(" of %s, %s", r.Operator, r.Time.Format(time.RFC3339))
	}
	return text
}

// printProblems prints errors and warnings with their line numbers to Stderr.
func printProblems(env Env, file *ticketfile.File, problems []ticket.Problem) {
	var b bytes.Buffer
	for _, p := range file.Problems(problems) {
		fmt.Fprintln(&b, p.Format(file.Name))
	}
	_, _ = env.Stderr.Write(b.Bytes())
}

var opSigns = map[ticket.Op]string{ticket.Add: "+", ticket.Remove: "-", ticket.Change: "~"}

// printDiff prints one line per object and one per field.
func printDiff(env Env, changes []ticket.Difference) {
	for _, d := range changes {
		env.printf("%s %s\n", opSigns[d.Op], d.Object)
		for _, f := range d.Fields {
			switch f.Op {
			case ticket.Add:
				env.printf("    + %s: %s\n", f.Field, f.New)
			case ticket.Remove:
				env.printf("    - %s: %s\n", f.Field, f.Old)
			default:
				env.printf("    ~ %s: %s -> %s\n", f.Field, f.Old, f.New)
			}
		}
	}
}
