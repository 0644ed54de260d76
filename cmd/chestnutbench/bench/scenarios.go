package bench

import (
	"context"
	"fmt"

	"github.com/chestnutdyke/chestnutdyke"
)

// scenario defines the load and the events of a run.
type scenario struct {
	name    string
	summary string
	// unplanned is set if servers fail, which may interrupt requests.
	unplanned bool
	adjust    func(l *load)                           // changes the steady load; nil if none
	events    func(ctx context.Context, r *run) error // faults and changes during the run; nil if none
}

func (s *scenario) firstPhase() string {
	if s.events == nil {
		return s.name
	}
	return "run"
}

const (
	// overloadFactor is the load that an overloading customer offers, relative to its
	// rate.
	overloadFactor = 5
	// roamMoveShare is the share of jobs after which a session moves to another VM
	// in the scenario roam.
	roamMoveShare = 0.3
)

// scenarios lists the scenarios with a load on the whole fleet. Overhead and scale
// measure the cost of a VM and are implemented separately.
var scenarios = []*scenario{
	{name: "steady", summary: "every customer within its rate limit"},
	{
		name: "overload", summary: "one large customer sends five times its rate",
		adjust: func(l *load) {
			l.overloadFactors = map[string]float64{"bindery": overloadFactor, "frontdesk": overloadFactor}
		},
	},
	{name: "failover", summary: "primaries crash or stop answering, one group after the other", unplanned: true, events: failPrimaries},
	{name: "dc-leave", summary: "a data centre leaves, is out and returns, by tickets", events: leaveDataCentre},
	{name: "cutoff", summary: "a data centre is cut off from the others and the platform", unplanned: true, events: isolateDataCentre},
	{name: "store-down", summary: "the store is down, and a primary fails meanwhile", unplanned: true, events: failStore},
	{name: "key-withdraw", summary: "the key of a customer is revoked while its clients work", events: revokeKey},
	{name: "roam", summary: "sessions move to another VM after 30 % of their requests", adjust: func(l *load) { l.moveShare = roamMoveShare }},
}

func findScenario(name string) (*scenario, error) {
	for _, s := range scenarios {
		if s.name == name {
			return s, nil
		}
	}
	return nil, fmt.Errorf("scenario %q does not exist; -h lists the scenarios", name)
}

// variant is a configuration of the fleet that a scenario runs on.
type variant struct {
	name   string
	adjust func(o *chestnutdyke.Options)
}

// unmodified is the fleet with all of its mechanisms.
var unmodified = variant{name: "as is"}

// baselines are variants with one mechanism switched off, for comparison.
var baselines = []variant{
	{name: "reads on primary", adjust: func(o *chestnutdyke.Options) { o.Session.ReadsOnPrimary = true }},
	{name: "no fair queueing", adjust: func(o *chestnutdyke.Options) { o.Queueing.FIFO = true }},
	{name: "static shares", adjust: func(o *chestnutdyke.Options) { o.StaticShares = true }},
	{name: "no group commit", adjust: func(o *chestnutdyke.Options) { o.Session.NoGroupCommit = true }},
}
