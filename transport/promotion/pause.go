package promotion

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/succession"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlback"
)

// Where commits wait for replicas, a promotion rests on logs that do not change until it
// takes effect. So replicas are paused before they report their positions, and resumed
// once no order may still be carried out. docs/design/promotion-evidence.md has the rules.

// resumeInterval separates attempts to resume replicas that did not answer.
const resumeInterval = time.Second

// handoverDelay is how long a VM that has lost the duty leaves replicas paused. It exceeds
// the time in which another VM claims the duty and supersedes the orders of this one.
const handoverDelay = 5 * time.Second

var (
	errLeads      = eris.New("the server is the primary")
	errOtherLeads = eris.New("another server is the primary")
)

// freeze pauses the group's servers and returns the ends of their logs. Servers that could
// not be paused count as silent. primary is the lost primary, or nil.
func (c *Coordinator) freeze(ctx context.Context, group string, primary *catalog.Server, gs *groupState) succession.Survey {
	term := uint64(0)
	c.Leadership.With(group, func(l *leadership.Group) { term = l.Term() + 1 })
	return c.surveyWith(ctx, group, nil, func(server *catalog.Server) (sqlback.Report, error) {
		r, err := c.pauseServer(ctx, group, server, term, gs)
		if errors.Is(err, errLeads) && (primary == nil || server.ID != primary.ID) {
			err = errOtherLeads
		}
		return r, err
	})
}

// pauseServer pauses a replica and returns the report that it gave then. It fails with
// errLeads if the server is the primary.
func (c *Coordinator) pauseServer(ctx context.Context, group string, server *catalog.Server, term uint64, gs *groupState) (sqlback.Report, error) {
	c.mu.Lock()
	gs.paused[server.ID] = true
	c.mu.Unlock()
	const attempts = 2 // the first one tells the term of a server that knows a later one
	for range attempts {
		r, err := c.queryServer(ctx, group, server, statement.Command{Verb: statement.Pause, Term: term})
		switch {
		case err != nil:
			return r, err
		case r.Primary:
			c.queryLeadership(group, server, func(statement.Result) {})
			return r, errLeads
		case r.Term < term:
			return r, nil
		}
		term = r.Term + 1
	}
	return sqlback.Report{}, eris.New("the server knows a later term at each attempt")
}

// mayResume reports whether replicas of the group may be paused and no order may still be
// carried out. The caller holds the coordinator's mu.
func (gs *groupState) mayResume(now time.Duration) bool {
	return len(gs.paused) > 0 && !gs.orderUnconfirmed && now >= gs.ordersEndAt
}

// resumeReplicas resumes the replicas that may be paused. Those that are not registered or
// do not answer stay in gs.paused.
func (c *Coordinator) resumeReplicas(ctx context.Context, group string, gs *groupState) {
	c.mu.Lock()
	var ids []string
	if gs.mayResume(clock.Now()) {
		ids = slices.Sorted(maps.Keys(gs.paused))
	}
	gs.resumeAt = clock.Now() + resumeInterval
	c.mu.Unlock()
	registered := c.Table.Current().Servers
	answers := make(chan string, len(ids))
	asked := 0
	for _, id := range ids {
		server := registered[id]
		if server == nil || server.Group != group {
			continue
		}
		asked++
		go func() {
			if _, err := c.queryServer(ctx, group, server, statement.Command{Verb: statement.Resume}); err != nil {
				c.Logger.WithError(err).WithFields(log.Fields{"group": group, "server": id}).Warn("promotion: a replica could not be resumed.")
				answers <- ""
				return
			}
			answers <- id
		}()
	}
	for range asked {
		if id := <-answers; id != "" {
			c.mu.Lock()
			delete(gs.paused, id)
			c.mu.Unlock()
		}
	}
}

// endPromotion resumes the replicas that a promotion has paused, as far as that is allowed.
func (c *Coordinator) endPromotion(ctx context.Context, group string, gs *groupState) {
	c.resumeReplicas(ctx, group, gs)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.groups[group] != gs && len(gs.paused) > 0 {
		c.abandoned[group] = gs
	}
}

// abandonGroups forgets the groups, because this VM is no longer the coordinator. The
// caller holds mu.
func (c *Coordinator) abandonGroups() {
	for group, gs := range c.groups {
		if len(gs.paused) > 0 && !gs.promoting {
			c.abandoned[group] = gs
		}
	}
	c.groups = make(map[string]*groupState)
}

// resumeAbandoned resumes, after handoverDelay, replicas that this VM paused and that its
// successor may have resumed before that: the successor doesn't know of a later pause.
func (c *Coordinator) resumeAbandoned(ctx context.Context) {
	c.mu.Lock()
	abandoned := c.abandoned
	c.abandoned = make(map[string]*groupState)
	c.mu.Unlock()
	for group, gs := range abandoned {
		c.background.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(handoverDelay):
			}
			c.mu.Lock()
			isCoordinator := c.groups[group] != nil
			gs.orderUnconfirmed, gs.ordersEndAt = false, 0
			c.mu.Unlock()
			if !isCoordinator { // otherwise the group's new state has the replicas too
				c.resumeReplicas(ctx, group, gs)
			}
		})
	}
}

// endPause resumes replicas outside of a promotion.
func (c *Coordinator) endPause(ctx context.Context, group string, gs *groupState) {
	defer c.finishStep(gs)
	c.resumeReplicas(ctx, group, gs)
}

// awaitFrozenSuccessor is like awaitSuccessor where commits wait for replicas. It repeats
// the survey for at most catchUpTimeout, until enough logs are frozen.
func (c *Coordinator) awaitFrozenSuccessor(ctx context.Context, group string, primary *catalog.Server, gs *groupState) (succession.Candidate, bool) {
	deadline := time.Now().Add(catchUpTimeout)
	for {
		survey := c.freeze(ctx, group, primary, gs)
		best, ok := succession.SelectSuccessor(survey, c.syncReplicas(group))
		if ok || survey.Led || !time.Now().Before(deadline) || ctx.Err() != nil {
			c.logSelection(group, survey, best, ok)
			return best, ok
		}
		time.Sleep(pollInterval)
	}
}
