package ctl

import (
	"flag"
	"fmt"
	"strings"
)

// commands lists all commands in the order of the help text.
var commands = []command{
	checkCommand, applyCommand, diffCommand, showCommand, historyCommand, ticketStatusCommand, statusCommand, keyNewCommand, configCheckCommand,
}

// exitCodes describes the exit codes in the help text. docs/OPERATIONS.md contains
// the same list.
const exitCodes = `Exit codes:
  0  done; for status commands: every live VM has applied the ticket
  1  error; nothing was changed
  2  wrong command line
  3  a live VM has not applied the ticket
  4  another operator's ticket came first; nothing was changed
  5  the store's answer was lost; the change may have been made
`

func overview() string {
	var b strings.Builder
	b.WriteString("chestnutctl changes and shows the configuration of a chestnutdyke fleet.\n\n" +
		"usage: chestnutctl COMMAND [flags] [arguments]\n\nCommands:\n")
	for _, c := range commands {
		fmt.Fprintf(&b, "  %-28s %s\n", strings.TrimSpace(c.name+" "+c.args), c.summary)
	}
	b.WriteString(`
chestnutctl COMMAND -h explains a command and its flags.

A ticket is a YAML file with a number, an operator, a reason, and the whole new
state of each object that it changes. A usual change:

  chestnutctl ticket check -store 10.0.0.5:8080 ticket-42.yaml
  chestnutctl ticket apply -store 10.0.0.5:8080 ticket-42.yaml
  chestnutctl ticket status -store 10.0.0.5:8080 -wait 10s

`)
	b.WriteString(exitCodes)
	return b.String()
}

func (c *command) usage(f *flag.FlagSet) string {
	var b strings.Builder
	fmt.Fprintf(&b, "usage: chestnutctl %s\n\n%s.\n\n%s\n", strings.Join(strings.Fields(c.name+" [flags] "+c.args), " "), c.summary, c.help)
	var flags strings.Builder
	f.SetOutput(&flags)
	f.PrintDefaults()
	if flags.Len() > 0 {
		fmt.Fprintf(&b, "Flags:\n%s\n", flags.String())
	}
	b.WriteString(exitCodes)
	return b.String()
}
