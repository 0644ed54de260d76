package promotion

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
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

const (
	// resumeInterval separates attempts to resume replicas that did not answer.
	resumeInterval = time.Second
	// pauseCheckRatio is the interval between searches for replicas that are paused without
	// this VM's knowledge, in intervals of queries for leadership confirmations. In a large
	// deployment they take a third of the queries that the coordinator may send.
	pauseCheckRatio = 8
)

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

// mayEndPause reports whether no other VM can be promoting a server that rests on paused
// replicas: this VM holds the duty, or no VM reaches the store to claim it.
func (c *Coordinator) mayEndPause(ctx context.Context) bool {
	holds, err := c.holdsRecord(ctx)
	return holds || err != nil && !c.View().StoreReached()
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
	if len(ids) == 0 || !c.mayEndPause(ctx) {
		return
	}
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

// needsPauseCheck reports whether it is time to look for paused replicas. The caller holds
// the coordinator's mu.
func (gs *groupState) needsPauseCheck(status *succession.GroupStatus) bool {
	return !gs.checkingPause && len(gs.paused) == 0 && status.Now >= gs.pauseCheckAt
}

// findPaused looks for replicas that are paused although no promotion is in progress. A
// former coordinator may have paused them after this VM has claimed the duty, for example
// with a command that the network held up.
func (c *Coordinator) findPaused(ctx context.Context, group string, gs *groupState) {
	var mu sync.Mutex
	var found []string
	c.surveyWith(ctx, group, nil, func(server *catalog.Server) (sqlback.Report, error) {
		r, err := c.queryServer(ctx, group, server, statement.Command{Verb: statement.Status})
		if err == nil && r.PausedBy > 0 {
			mu.Lock()
			defer mu.Unlock()
			found = append(found, server.ID)
		}
		return r, err
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	gs.checkingPause = false
	if len(found) == 0 || gs.promoting {
		return
	}
	for _, id := range found {
		gs.paused[id] = true
	}
	c.Logger.WithFields(log.Fields{"group": group, "servers": strings.Join(found, " ")}).Info("promotion: paused replicas found.")
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
