package docs

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/chestnutdyke/chestnutdyke/cmd/chestnutctl/ctl"
	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/settings"
	"github.com/chestnutdyke/chestnutdyke/protocol/ticketfile"
)

func guide(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a settings reference that differs from the code.
func TestSettingsReference(t *testing.T) {
	if want := settings.ReferenceTable(); !strings.Contains(guide(t), want) {
		t.Errorf("OPERATIONS.md lacks the table:\n%s", want)
	}
}

// Guards against exit codes that differ between the guide and the help text.
func TestExitCodes(t *testing.T) {
	var help bytes.Buffer
	ctl.Run(t.Context(), ctl.Env{Stdout: &help, Stderr: &help}, []string{"-h"})
	_, codes, found := strings.Cut(help.String(), "Exit codes:\n")
	if !found {
		t.Fatalf("no exit codes in the help text:\n%s", &help)
	}
	text := guide(t)
	for _, line := range strings.Split(strings.TrimSpace(codes), "\n") {
		code, meaning, _ := strings.Cut(strings.TrimSpace(line), "  ")
		if row := "| " + code + " | " + meaning + " |"; !strings.Contains(text, row) {
			t.Errorf("OPERATIONS.md lacks %q", row)
		}
	}
}

// Guards against an example of a ticket that is refused.
func TestTicketExample(t *testing.T) {
	_, rest, _ := strings.Cut(guide(t), "```yaml\n")
	example, _, found := strings.Cut(rest, "```")
	if !found {
		t.Fatal("no example")
	}
	file := ticketfile.Parse("OPERATIONS.md", []byte(example))
	if err := file.Err(ticket.CheckStandalone(file.Ticket)); err != nil {
		t.Error(err)
	}
}

// Guards against commands and flags in the guide that do not exist.
func TestCommandsExist(t *testing.T) {
	var help bytes.Buffer
	for _, words := range []string{"ticket check", "ticket apply", "ticket diff", "ticket show", "ticket history", "ticket status", "status", "key new"} {
		if !strings.Contains(guide(t), "chestnutctl "+words) {
			t.Errorf("OPERATIONS.md does not mention %q", words)
		}
		if code := ctl.Run(t.Context(), ctl.Env{Stdout: &help, Stderr: &help}, append(strings.Fields(words), "-h")); code != ctl.ExitOK {
			t.Errorf("%s -h ended with %d", words, code)
		}
	}
	for _, flag := range []string{"store", "vm", "wait", "strict", "accept-warnings"} {
		if !strings.Contains(guide(t), "-"+flag) || !strings.Contains(help.String(), "  -"+flag) {
			t.Errorf("flag -%s is not in both the guide and the help text", flag)
		}
	}
}
