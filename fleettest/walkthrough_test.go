package fleettest

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// guidePath is the path of the operators' page. walkthroughTitle is the title of its
// section with the commands and outputs of TestTicketWalkThrough.
const (
	guidePath        = "../docs/OPERATIONS.md"
	walkthroughTitle = "## A walk through\n"
)

// keyCustomer is the customer whose key is replaced in the walkthrough.
const keyCustomer = "member-6"

// walkthrough runs the commands of an operator and records them and their outputs.
type walkthrough struct {
	harness *harness
	steps   []string // commands and outputs in the format of the page
}

// run runs a command line, which must end with the given exit code, records it with
// its output, and returns its standard output.
func (wt *walkthrough) run(code int, args ...string) string {
	wt.harness.t.Helper()
	r := wt.harness.ctl(args...)
	if r.code != code {
		wt.harness.t.Fatalf("chestnutctl %s: exit code %d, want %d\n%s%s", strings.Join(args, " "), r.code, code, r.stdout, r.stderr)
	}
	output := replaceTimes(r.stdout + r.stderr)
	wt.steps = append(wt.steps, "$ chestnutctl "+strings.Join(args, " ")+"\n"+output)
	return r.stdout
}

// Times differ between runs, so the page shows a placeholder of the same width for
// them.
var (
	timePattern    = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(Z|[+-]\d\d:\d\d)`)
	trailingSpaces = regexp.MustCompile(`(?m) +$`)
)

// replaceTimes replaces the times in an output by the placeholder of the page and
// removes trailing spaces.
func replaceTimes(s string) string {
	return trailingSpaces.ReplaceAllString(timePattern.ReplaceAllString(s, "YYYY-MM-DDThh:mm:ssZ"), "")
}

// ticketFile writes the next ticket to a file with the given name and returns the
// name.
func (wt *walkthrough) ticketFile(name, reason string, change func(*state.Config, *ticket.Ticket)) string {
	wt.harness.t.Helper()
	path := wt.harness.writeTicket(operator, reason, change)
	wt.harness.files[name] = wt.harness.files[path]
	return name
}

// Guards against an operators' page with commands that fail or print something else
// than it shows. The page covers a higher rate, the replacement of a key, and a data
// centre that leaves and returns.
func TestTicketWalkThrough(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	runWithFleet(t, p, func(h *harness) {
		wt := &walkthrough{harness: h}
		s := h.startServiceLoad(lightLoad)
		time.Sleep(2 * time.Second)
		wt.raiseRate()
		wt.changeKey()
		wt.takeDataCentreOutAndBack()
		wt.run(0, "ticket", "history", "-store", fleet.StoreAddress())
		for _, l := range s.loads {
			counted := summarize(l.finish(), 1, 1)
			t.Logf("%s during the walkthrough: answered %d of %d, not answered by SQLSTATE %v", l.customer, counted.answered, counted.offered, counted.codes)
		}
		wt.compare()
	})
}

// raiseRate checks and applies a ticket with a higher rate, and applies it again,
// which changes nothing.
func (wt *walkthrough) raiseRate() {
	wt.harness.t.Helper()
	store := fleet.StoreAddress()
	file := wt.ticketFile("rate.yaml", "The bindery gets a higher rate.", setRate("bindery", 320))
	wt.run(0, "ticket", "check", "-store", store, file)
	wt.run(0, "ticket", "apply", "-store", store, file)
	wt.run(0, "ticket", "status", "-store", store, "-wait", "10s")
	wt.run(0, "ticket", "apply", "-store", store, file)
}

// changeKey adds a key, connects clients with it, and revokes the old key.
func (wt *walkthrough) changeKey() {
	h, store := wt.harness, fleet.StoreAddress()
	h.t.Helper()
	_, key, _ := strings.Cut(wt.run(0, "key", "new"), "key:    ")
	key, _, _ = strings.Cut(key, "\n")
	old := fleet.Key(keyCustomer)
	wt.run(0, "ticket", "apply", "-store", store, wt.ticketFile("key.yaml", "Member 6 gets a new key.", setKeys(keyCustomer, old, key)))
	wt.run(0, "ticket", "status", "-store", store, "-wait", "10s")
	connected, changed := h.connectToAllVMs(keyCustomer, old), h.connectToAllVMs(keyCustomer, key)
	wt.run(0, "ticket", "apply", "-store", store, wt.ticketFile("revoke.yaml", "The old key of member 6 is revoked.", setKeys(keyCustomer, "-"+old, key)))
	wt.run(0, "ticket", "status", "-store", store, "-strict", "-wait", "10s")
	h.checkCodes("revoked key of connected clients", "28P01", h.requestCodes(connected))
	h.checkCodes("new key", "", h.requestCodes(changed))
	h.closeAll(connected)
	h.closeAll(changed)
}

// takeDataCentreOutAndBack takes a data centre out of service and puts it back into service.
func (wt *walkthrough) takeDataCentreOutAndBack() {
	h, store := wt.harness, fleet.StoreAddress()
	h.t.Helper()
	dc := h.fleet.Profile.DataCentres[1]
	for _, s := range []state.ServiceState{state.Leaving, state.Out, state.InService} {
		file := wt.ticketFile(dc+"-"+string(s)+".yaml", dc+" is "+string(s)+".", func(c *state.Config, t *ticket.Ticket) {
			changed := *c.DataCentres[dc]
			changed.State = s
			t.DataCentres[dc] = &changed
		})
		wt.run(0, "ticket", "apply", "-store", store, file)
		wt.run(0, "ticket", "status", "-store", store, "-wait", "60s")
		if s == state.Out {
			time.Sleep(10 * time.Second) // the leases of its VMs expire
		}
		if s == state.Leaving {
			h.waitPrimariesMoved(h.serversIn(dc))
			time.Sleep(maxDrainTime)
			for _, vm := range h.vmsOf(dc) {
				if n := h.fleet.VM(vm).Status(true).Sessions.Open; n > 0 {
					h.t.Errorf("%s has %d sessions", fleet.VMName(vm), n)
				}
			}
		}
	}
}

// compare fails the test unless the page shows the recorded commands and outputs.
func (wt *walkthrough) compare() {
	wt.harness.t.Helper()
	data, err := os.ReadFile(guidePath)
	if err != nil {
		wt.harness.t.Fatal(err)
	}
	_, section, found := strings.Cut(string(data), walkthroughTitle)
	if !found {
		wt.harness.t.Fatalf("%s has no section %q", guidePath, walkthroughTitle)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	if onPage := consoleBlocks(section); onPage != strings.Join(wt.steps, "\n") {
		wt.harness.t.Errorf("the page shows\n%s\nbut the commands and outputs are\n%s", onPage, strings.Join(wt.steps, "\n"))
	}
}

// consoleBlocks returns the contents of all console blocks in the section, separated
// by newlines.
func consoleBlocks(section string) string {
	var blocks []string
	for {
		_, rest, found := strings.Cut(section, "```console\n")
		if !found {
			return strings.Join(blocks, "\n")
		}
		block, after, _ := strings.Cut(rest, "```")
		blocks = append(blocks, block)
		section = after
	}
}
