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

func operationsPage(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a settings reference that differs from the code.
func TestSettingsReference(t *testing.T) {
	if want := settings.ReferenceTable(); !strings.Contains(operationsPage(t), want) {
		t.Errorf("OPERATIONS.md lacks the table:\n%s", want)
	}
}

// Guards against exit codes that differ between the operations page and the help
// text.
func TestExitCodes(t *testing.T) {
	var help bytes.Buffer
	ctl.Run(t.Context(), ctl.Env{Stdout: &help, Stderr: &help}, []string{"-h"})
	_, codes, found := strings.Cut(help.String(), "Exit codes:\n")
	if !found {
		t.Fatalf("no exit codes in the help text:\n%s", &help)
	}
	text := operationsPage(t)
	for _, line := range strings.Split(strings.TrimSpace(codes), "\n") {
		code, meaning, _ := strings.Cut(strings.TrimSpace(line), "  ")
		if row := "| " + code + " | " + meaning + " |"; !strings.Contains(text, row) {
			t.Errorf("OPERATIONS.md lacks %q", row)
		}
	}
}

// Guards against a ticket example on the operations page that does not pass the
// checks of a ticket.
func TestTicketExample(t *testing.T) {
	_, rest, _ := strings.Cut(operationsPage(t), "```yaml\n")
	example, _, found := strings.Cut(rest, "```")
	if !found {
		t.Fatal("no example")
	}
	file := ticketfile.Parse("OPERATIONS.md", []byte(example))
	if err := file.Err(ticket.CheckStandalone(file.Ticket)); err != nil {
		t.Error(err)
	}
}

// Guards against commands and flags of the lists below that are missing from the
// operations page or from the program.
func TestCommandsExist(t *testing.T) {
	var help bytes.Buffer
	for _, words := range []string{"ticket check", "ticket apply", "ticket diff", "ticket show", "ticket history", "ticket status", "status", "key new", "config check"} {
		if !strings.Contains(operationsPage(t), "chestnutctl "+words) {
			t.Errorf("OPERATIONS.md does not mention %q", words)
		}
		if code := ctl.Run(t.Context(), ctl.Env{Stdout: &help, Stderr: &help}, append(strings.Fields(words), "-h")); code != ctl.ExitOK {
			t.Errorf("%s -h exited with status %d", words, code)
		}
	}
	for _, flag := range []string{"store", "vm", "wait", "strict", "accept-warnings", "in-force", "json"} {
		if !strings.Contains(operationsPage(t), "-"+flag) || !strings.Contains(help.String(), "  -"+flag) {
			t.Errorf("flag -%s is not both on the operations page and in the help text", flag)
		}
	}
}
