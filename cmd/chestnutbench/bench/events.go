package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/store"
	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// leaveGrace is how long a data centre that was taken out of service may still
	// run statements. Guarantee P8 says "a few seconds".
	leaveGrace = 3 * time.Second
	// revokeGrace is how long a revoked API key may still be accepted. Guarantee P6
	// says "within seconds".
	revokeGrace = 5 * time.Second
)

// timeline starts the phases of a run at shares of its duration.
type timeline struct {
	ctx   context.Context
	run   *run
	start time.Time
}

func newTimeline(ctx context.Context, r *run) *timeline {
	return &timeline{ctx: ctx, run: r, start: time.Now()}
}

// startPhaseAt waits until the given share of the run's duration has passed and
// starts a phase. It reports false if the run ended before.
func (t *timeline) startPhaseAt(share float64, phase string) bool {
	at := t.start.Add(time.Duration(share * float64(t.run.duration)))
	if !sleepUntil(t.ctx, at) {
		return false
	}
	t.run.collector.startPhase(phase, time.Now())
	return true
}

// leaveDataCentre takes a data centre out of service in the two steps that
// operators use, leaving and out, and brings it back.
func leaveDataCentre(ctx context.Context, r *run) error {
	t, f := newTimeline(ctx, r), r.fleet
	dc := r.profile.DataCentres[0]
	if !t.startPhaseAt(0.2, "leaving") {
		return nil
	}
	if err := f.SetDataCentre(dc, state.Leaving); err != nil {
		return err
	}
	left := time.Now()
	if !sleepUntil(ctx, left.Add(leaveGrace)) {
		return nil
	}
	before := r.statementsIn(dc)
	if !t.startPhaseAt(0.45, "out") {
		return nil
	}
	if err := f.SetDataCentre(dc, state.Out); err != nil {
		return err
	}
	if !t.startPhaseAt(0.7, "returning") {
		return nil
	}
	r.outOfServiceWork = &outOfServiceWork{dataCentre: dc, statements: r.statementsIn(dc) - before}
	return f.SetDataCentre(dc, state.InService)
}

// outOfServiceWork counts the statements that a data centre ran from the end of
// leaveGrace until it returned to service.
type outOfServiceWork struct {
	dataCentre string
	statements uint64
}

// statementsIn returns the number of statements that the backend servers of a data
// centre have run.
func (r *run) statementsIn(dc string) uint64 {
	var n uint64
	for _, g := range r.fleet.Groups {
		for _, s := range g.Servers() {
			if s.DataCentre() == dc {
				n += s.Statements()
			}
		}
	}
	return n
}

// isolateDataCentre cuts a data centre off from everything except its clients, and
// heals the partition later.
func isolateDataCentre(ctx context.Context, r *run) error {
	t := newTimeline(ctx, r)
	if !t.startPhaseAt(0.25, "cut off") {
		return nil
	}
	dc := r.profile.DataCentres[0]
	for name, g := range r.fleet.Groups {
		if p := g.Primary(); p != nil && p.DataCentre() == dc {
			r.faultLog.faults = append(r.faultLog.faults, fault{group: name, kind: "cut off", at: time.Now()})
		}
	}
	isolation := r.fleet.Isolate(dc)
	defer isolation.Heal()
	if !t.startPhaseAt(0.65, "healed") {
		return nil
	}
	return nil
}

// failStore lets the store refuse calls and then hang. A primary fails in each of
// the two phases.
func failStore(ctx context.Context, r *run) error {
	t := newTimeline(ctx, r)
	defer r.fleet.Store.SetOutage(store.InService)
	for i, o := range []struct {
		share  float64
		phase  string
		outage store.Outage
	}{{0.2, "store refuses", store.Refusing}, {0.5, "store hangs", store.Hanging}} {
		if !t.startPhaseAt(o.share, o.phase) {
			return nil
		}
		r.fleet.Store.SetOutage(o.outage)
		group := r.profile.Groups[i%len(r.profile.Groups)]
		primary := r.fleet.Groups[group].Primary()
		if primary == nil {
			return fmt.Errorf("group %q has no primary", group)
		}
		if err := r.failPrimary(ctx, 0, group, primary); err != nil {
			return err
		}
	}
	t.startPhaseAt(0.8, "store is back")
	return nil
}

// revokeKey revokes the API keys of the last customer.
func revokeKey(ctx context.Context, r *run) error {
	t := newTimeline(ctx, r)
	if !t.startPhaseAt(0.25, "key revoked") {
		return nil
	}
	name := r.profile.Customers[len(r.profile.Customers)-1].Name
	r.collector.recordRevocation(name, time.Now())
	return r.fleet.Change(func(c *state.Config) {
		for i := range c.Customers[name].Keys {
			c.Customers[name].Keys[i].Revoked = true
		}
	})
}
