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

// guidePath is the operators' page, and walkTitle the section that shows the
// commands and outputs of the test below.
const (
	guidePath = "../docs/OPERATIONS.md"
	walkTitle = "## A walk through\n"
)

// keyCustomer is the customer whose key changes in the walk.
const keyCustomer = "member-6"

// walk is the sequence of commands that an operator types, with their outputs.
type walk struct {
	world *world
	steps []string // commands and outputs, as on the page
}

// run runs a command, which must end with the given code, and notes it with its
// output.
func (k *walk) run(code int, args ...string) string {
	k.world.t.Helper()
	r := k.world.ctl(args...)
	if r.code != code {
		k.world.t.Fatalf("chestnutctl %s: exit code %d, want %d\n%s%s", strings.Join(args, " "), r.code, code, r.stdout, r.stderr)
	}
	output := steadyText(r.stdout + r.stderr)
	k.steps = append(k.steps, "$ chestnutctl "+strings.Join(args, " ")+"\n"+output)
	return r.stdout
}

// Times differ between runs; the page shows a placeholder of the same width.
var (
	timeText   = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(Z|[+-]\d\d:\d\d)`)
	spacesText = regexp.MustCompile(`(?m) +$`)
)

func steadyText(s string) string {
	return spacesText.ReplaceAllString(timeText.ReplaceAllString(s, "YYYY-MM-DDThh:mm:ssZ"), "")
}

// ticketFile writes the next ticket under a name that tells what it does.
func (k *walk) ticketFile(name, reason string, change func(*state.Config, *ticket.Ticket)) string {
	k.world.t.Helper()
	path := k.world.writeTicket(operator, reason, change)
	k.world.files[name] = k.world.files[path]
	return name
}

// Guards against an operators' page whose commands do not work, or print
// something else than the page shows: a higher rate, the change and revocation
// of a key, and a data centre that leaves and returns.
func TestTicketWalkThrough(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	inWorld(t, p, func(w *world) {
		k := &walk{world: w}
		s := w.startSteady(lightLoad)
		time.Sleep(2 * time.Second)
		k.raiseRate()
		k.changeKey()
		k.moveDataCentre()
		k.run(0, "ticket", "history", "-store", fleet.StoreAddress())
		for _, l := range s.loads {
			counted := count(l.finish(), 1, 1)
			t.Logf("%s during the walk: answered %d of %d, not answered by SQLSTATE %v", l.customer, counted.answered, counted.offered, counted.codes)
		}
		k.compare()
	})
}

func (k *walk) raiseRate() {
	k.world.t.Helper()
	store := fleet.StoreAddress()
	file := k.ticketFile("rate.yaml", "The bindery gets a higher rate.", raise("bindery", 320))
	k.run(0, "ticket", "check", "-store", store, file)
	k.run(0, "ticket", "apply", "-store", store, file)
	k.run(0, "ticket", "status", "-store", store, "-wait", "10s")
	k.run(0, "ticket", "apply", "-store", store, file)
}

// changeKey adds a key, has the customer use it, and revokes the old one.
func (k *walk) changeKey() {
	w, store := k.world, fleet.StoreAddress()
	w.t.Helper()
	_, key, _ := strings.Cut(k.run(0, "key", "new"), "key:    ")
	key, _, _ = strings.Cut(key, "\n")
	old := fleet.Key(keyCustomer)
	k.run(0, "ticket", "apply", "-store", store, k.ticketFile("key.yaml", "Member 6 gets a new key.", setKeys(keyCustomer, old, key)))
	k.run(0, "ticket", "status", "-store", store, "-wait", "10s")
	connected, changed := w.connectAll(keyCustomer, old), w.connectAll(keyCustomer, key)
	k.run(0, "ticket", "apply", "-store", store, k.ticketFile("revoke.yaml", "The old key of member 6 is revoked.", setKeys(keyCustomer, "-"+old, key)))
	k.run(0, "ticket", "status", "-store", store, "-strict", "-wait", "10s")
	w.want("revoked key of connected clients", "28P01", w.codes(connected))
	w.want("new key", "", w.codes(changed))
	w.closeAll(connected)
	w.closeAll(changed)
}

// moveDataCentre takes a data centre out of service and puts it back.
func (k *walk) moveDataCentre() {
	w, store := k.world, fleet.StoreAddress()
	w.t.Helper()
	dc := w.fleet.Profile.DataCentres[1]
	for _, s := range []state.ServiceState{state.Leaving, state.Out, state.InService} {
		file := k.ticketFile(dc+"-"+string(s)+".yaml", dc+" is "+string(s)+".", func(c *state.Config, t *ticket.Ticket) {
			changed := *c.DataCentres[dc]
			changed.State = s
			t.DataCentres[dc] = &changed
		})
		k.run(0, "ticket", "apply", "-store", store, file)
		k.run(0, "ticket", "status", "-store", store, "-wait", "60s")
		if s == state.Out {
			time.Sleep(10 * time.Second) // the lease of its VMs ends
		}
		if s == state.Leaving {
			w.waitHandedOver(w.serversIn(dc))
			time.Sleep(quietAfter)
			for _, vm := range w.vmsOf(dc) {
				if n := w.fleet.VM(vm).Status(true).Sessions.Open; n > 0 {
					w.t.Errorf("%s has %d sessions", fleet.VMName(vm), n)
				}
			}
		}
	}
}

// compare fails the test unless the page shows the same commands and outputs.
func (k *walk) compare() {
	k.world.t.Helper()
	data, err := os.ReadFile(guidePath)
	if err != nil {
		k.world.t.Fatal(err)
	}
	_, section, found := strings.Cut(string(data), walkTitle)
	if !found {
		k.world.t.Fatalf("%s has no section %q", guidePath, walkTitle)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	if onPage := consoleBlocks(section); onPage != strings.Join(k.steps, "\n") {
		k.world.t.Errorf("the page shows\n%s\nbut the commands and outputs are\n%s", onPage, strings.Join(k.steps, "\n"))
	}
}

// consoleBlocks returns the text of the blocks in the section that show a
// console, one after the other.
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
