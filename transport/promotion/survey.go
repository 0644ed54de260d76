package promotion

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/succession"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlback"
)

// syncReplicas returns the number of replicas that a commit of the group waits for.
func (c *Coordinator) syncReplicas(group string) int {
	if g := c.Table.Current().Config.Group(group); g != nil {
		return g.SyncReplicas
	}
	return 0
}

// survey queries the group's servers except the given one for their positions.
func (c *Coordinator) survey(ctx context.Context, group string, except *catalog.Server) succession.Survey {
	return c.surveyWith(ctx, group, except, func(server *catalog.Server) (sqlback.Report, error) {
		return c.queryServer(ctx, group, server, statement.Command{Verb: statement.Status})
	})
}

// surveyWith queries the group's servers except the given one.
func (c *Coordinator) surveyWith(ctx context.Context, group string, except *catalog.Server, query func(*catalog.Server) (sqlback.Report, error)) succession.Survey {
	d := c.Table.Current()
	type answer struct {
		candidate succession.Candidate
		report    sqlback.Report
		err       error
	}
	servers, members := d.GroupServers(group), c.membersOf(group)
	answers := make(chan answer, len(servers))
	asked := 0
	for _, server := range servers {
		if except != nil && server.ID == except.ID {
			continue
		}
		asked++
		go func() {
			r, err := query(server)
			candidate := succession.Candidate{Server: server, Received: r.Received, Usable: d.Usable(server)}
			if err != nil {
				c.Logger.WithError(err).WithFields(log.Fields{"group": group, "server": server.ID}).Warn("promotion: a server did not report its position.")
			} else {
				c.Leadership.With(group, func(l *leadership.Group) { candidate.Diverged = l.Diverged(server.ID, r.Received) })
			}
			answers <- answer{candidate, r, err}
		}()
	}
	s := succession.Survey{Silent: members.Missing(servers)}
	if except != nil && d.Servers[except.ID] != nil {
		s.Silent = append(s.Silent, except.ID)
	}
	newest := uint64(0)
	for range asked {
		a := <-answers
		newest = max(newest, a.report.Term)
		if a.report.Primary {
			a.candidate.LeadsTerm = a.report.Term
		}
		if a.err == nil && !members.HasLostLog(a.candidate.Server, a.candidate.Received) {
			s.Candidates = append(s.Candidates, a.candidate)
			continue
		}
		s.Silent = append(s.Silent, a.candidate.Server.ID)
		s.Led = s.Led || errors.Is(a.err, errOtherLeads)
	}
	var promotions succession.Promotions
	if c.syncReplicas(group) == 0 { // else the longest log is among those that report
		promotions = c.promotionsOf(group)
	}
	for i := range s.Candidates {
		candidate := &s.Candidates[i]
		candidate.KnownTerm = newest
		candidate.Diverged = candidate.Diverged || promotions.Diverged(candidate.Server.ID, candidate.Received)
	}
	return s
}

// awaitSuccessor selects the server to promote in place of the lost primary.
func (c *Coordinator) awaitSuccessor(ctx context.Context, group string, primary *catalog.Server, gs *groupState) (succession.Candidate, bool) {
	if c.syncReplicas(group) > 0 {
		return c.awaitFrozenSuccessor(ctx, group, primary, gs)
	}
	survey := c.survey(ctx, group, primary)
	best, ok := succession.SelectSuccessor(survey, 0)
	c.logSelection(group, survey, best, ok)
	return best, ok && c.mayPromote(group, best)
}

// logSelection logs which server is to take over, or that none can, with the inputs of
// the decision.
func (c *Coordinator) logSelection(group string, s succession.Survey, selected succession.Candidate, ok bool) {
	entry := c.Logger.WithFields(log.Fields{"group": group, "reports": len(s.Candidates), "silent": strings.Join(s.Silent, " "), "sync_replicas": c.syncReplicas(group)})
	if !ok {
		entry.Error("promotion: no server can take over.")
		return
	}
	entry.WithFields(log.Fields{"server": selected.Server.ID, "term": selected.Received.Term, "position": selected.Received.Position, "usable": selected.Usable, "diverged": selected.Diverged}).
		Info("promotion: successor selected.")
}

// bestReplica returns the usable server to take over from a leaving primary. It reports
// false if there is none whose log is not known to have diverged.
func (c *Coordinator) bestReplica(ctx context.Context, group string, primary *catalog.Server) (succession.Candidate, bool) {
	best, ok := succession.BestCandidate(c.survey(ctx, group, primary).Candidates)
	if !ok || best.Diverged {
		c.Logger.WithField("group", group).Error("promotion: no server can take over from the leaving primary.")
		return succession.Candidate{}, false
	}
	return best, true
}

// awaitCatchUp waits until a usable server has the log of the leaving primary up to end,
// for at most catchUpTimeout. It returns the usable server with the longest log, with a
// nil Server if there is none, and reports whether it has all of that log.
func (c *Coordinator) awaitCatchUp(ctx context.Context, group string, primary *catalog.Server, end state.Point) (best succession.Candidate, complete bool) {
	deadline := time.Now().Add(catchUpTimeout)
	for {
		longest, ok := succession.BestCandidate(c.survey(ctx, group, primary).Candidates)
		if ok {
			best = longest
		}
		complete = ok && succession.Holds(best.Received, end)
		if complete || time.Now().After(deadline) || ctx.Err() != nil {
			return best, complete
		}
		time.Sleep(pollInterval)
	}
}

// hasSuccessor reports whether a usable server keeps up with the leaving primary. While
// none does, a primary that stepped down would only interrupt the group's writes.
func (c *Coordinator) hasSuccessor(ctx context.Context, group string, primary *catalog.Server) bool {
	r, err := c.queryServer(ctx, group, primary, statement.Command{Verb: statement.Status})
	complete := false
	if err == nil {
		_, complete = c.awaitCatchUp(ctx, group, primary, r.Received)
	}
	if !complete {
		c.Logger.WithFields(log.Fields{"group": group, "server": primary.ID}).Warn("promotion: no replica keeps up with the leaving primary.")
	}
	return complete
}

// stopPrimary makes a primary step down and returns the end of its log. It reports false
// if the primary did not answer.
func (c *Coordinator) stopPrimary(ctx context.Context, group string, primary *catalog.Server) (end state.Point, ok bool) {
	term := uint64(0)
	c.Leadership.With(group, func(l *leadership.Group) { term = l.Term() })
	entry := c.Logger.WithFields(log.Fields{"group": group, "server": primary.ID})
	r, err := c.queryServer(ctx, group, primary, statement.Command{Verb: statement.StepDown, Term: term + 1})
	if err != nil {
		entry.WithError(err).Warn("promotion: the primary did not step down.")
		return state.Point{}, false
	}
	entry.WithField("position", r.Received.Position).Info("promotion: the primary stepped down.")
	return r.Received, true
}

// delaySwitchover separates the next switchover of the group from this one.
func (c *Coordinator) delaySwitchover(gs *groupState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gs.switchoverAt = clock.Now() + switchoverRetryDelay
}
