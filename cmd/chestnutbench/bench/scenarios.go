package bench

import (
	"context"
	"fmt"

	"github.com/chestnutdyke/chestnutdyke"
)

// scenario is what happens during a run.
type scenario struct {
	name    string
	summary string
	// unplanned says that servers fail, which cuts transactions.
	unplanned bool
	adjust    func(l *load)                           // nil keeps the steady load
	events    func(ctx context.Context, r *run) error // nil lets nothing happen
}

func (s *scenario) firstPhase() string {
	if s.events == nil {
		return s.name
	}
	return "run"
}

const (
	// overloadFactor is what the overloading customer offers, relative to its rate.
	overloadFactor = 5
	// roamMoves is the share of jobs after which a session moves in roam.
	roamMoves = 0.3
)

// scenarios that load a whole fleet. Overhead and scale are apart.
var scenarios = []*scenario{
	{name: "steady", summary: "every customer inside its rate"},
	{
		name: "overload", summary: "one large customer sends five times its rate",
		adjust: func(l *load) {
			l.overloaded = map[string]float64{"bindery": overloadFactor, "frontdesk": overloadFactor}
		},
	},
	{name: "failover", summary: "primaries crash or stop answering, one group after the other", unplanned: true, events: failPrimaries},
	{name: "dc-leave", summary: "a data centre leaves, is out and returns, by tickets", events: leaveDataCentre},
	{name: "cutoff", summary: "a data centre is cut off from the others and the platform", unplanned: true, events: cutOff},
	{name: "store-down", summary: "the store is down, and a primary fails meanwhile", unplanned: true, events: storeDown},
	{name: "key-withdraw", summary: "the key of a customer is revoked while its clients work", events: withdrawKey},
	{name: "roam", summary: "sessions move to another VM after 30 % of their requests", adjust: func(l *load) { l.moveShare = roamMoves }},
}

func findScenario(name string) (*scenario, error) {
	for _, s := range scenarios {
		if s.name == name {
			return s, nil
		}
	}
	return nil, fmt.Errorf("there is no scenario %q", name)
}

// variant is the fleet as it is, or a baseline.
type variant struct {
	name   string
	adjust func(o *chestnutdyke.Options)
}

var asIs = variant{name: "as is"}

// baselines are compared with the fleet as it is.
var baselines = []variant{
	{name: "reads on primary", adjust: func(o *chestnutdyke.Options) { o.Session.ReadsOnPrimary = true }},
	{name: "no fair queueing", adjust: func(o *chestnutdyke.Options) { o.Queueing.FIFO = true }},
	{name: "static shares", adjust: func(o *chestnutdyke.Options) { o.StaticShares = true }},
	{name: "no group commit", adjust: func(o *chestnutdyke.Options) { o.Session.NoGroupCommit = true }},
}
