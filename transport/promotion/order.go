package promotion

import (
	"context"
	"errors"
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

// ask asks the primary for a proof of its lead.
func (s *Steward) ask(group string, primary *catalog.Server, w *watch) {
	sentAt := clock.Now()
	s.run(group, primary, statement.Work{
		Opens: true, Command: statement.Command{Verb: statement.Rollback},
	}, func(r statement.Result) {
		s.Leads.With(group, func(l *leadership.Group) {
			switch {
			case r.Proven:
				l.Prove(primary.ID, r.Answer.At, sentAt)
			case r.Answer.Code == statement.ReadOnly:
				l.Deny(primary)
			}
		})
		s.mu.Lock()
		defer s.mu.Unlock()
		w.asking = false
		if !r.Proven {
			w.failures++
		}
		if r.Answer.Code == statement.Down {
			w.refusals++
		}
	})
}

// run runs a command of the steward's own on a server, on a connection of the
// customer with the highest rate, which is most likely open.
func (s *Steward) run(group string, server *catalog.Server, w statement.Work, done func(statement.Result)) {
	w.Group, w.Server, w.Customer = group, server.ID, s.customer()
	w.Timeout, w.Wait = askTimeout, askTimeout
	vm, ok := s.View().Executor(w.Customer, server)
	if !ok {
		vm = s.Name
	}
	s.Runner.Run(vm, &w, done)
}

func (s *Steward) customer() string {
	best := ""
	rate := -1.0
	for _, c := range s.Table.Current().Config.Customers {
		if c.Rate > rate {
			best, rate = c.Name, c.Rate
		}
	}
	return best
}

// report asks a server for its role and position.
func (s *Steward) report(ctx context.Context, group string, server *catalog.Server, c statement.Command) (sqlback.Report, error) {
	results := make(chan statement.Result, 1)
	s.run(group, server, statement.Work{Command: c}, func(r statement.Result) { results <- r })
	select {
	case <-ctx.Done():
		return sqlback.Report{}, ctx.Err()
	case r := <-results:
		if r.Answer.Code != statement.OK || len(r.Answer.Rows) != 1 {
			return sqlback.Report{}, eris.Errorf("no report: %s %s", r.Answer.Code, r.Answer.Text)
		}
		return s.Reports.DecodeReport(r.Answer.Rows[0])
	}
}

// candidates asks the group's servers, but for the primary, for their positions.
func (s *Steward) candidates(ctx context.Context, group string, primary *catalog.Server) []succession.Candidate {
	d := s.Table.Current()
	servers := d.GroupServers(group)
	answers := make(chan *succession.Candidate, len(servers))
	for _, server := range servers {
		if primary != nil && server.ID == primary.ID {
			answers <- nil
			continue
		}
		go func() {
			r, err := s.report(ctx, group, server, statement.Command{Verb: statement.Status})
			if err != nil {
				s.Logger.WithError(err).WithFields(log.Fields{"group": group, "server": server.ID}).Warn("promotion: no position.")
				answers <- nil
				return
			}
			answers <- &succession.Candidate{Server: server, Received: r.Received, Usable: d.Usable(server)}
		}()
	}
	var all []succession.Candidate
	for range servers {
		if c := <-answers; c != nil {
			all = append(all, *c)
		}
	}
	return all
}

// replace promotes another server in place of one that is lost. It repeats
// orders without an answer, each with a new token.
func (s *Steward) replace(ctx context.Context, group string, primary *catalog.Server, w *watch) {
	defer s.finish(w)
	begun := clock.Now()
	for range maxOrders {
		best, ok := succession.Best(s.candidates(ctx, group, primary))
		if !ok {
			s.Logger.WithField("group", group).Error("promotion: no server can take over.")
			return
		}
		if ctx.Err() != nil || s.provenSince(group, begun) || s.promote(ctx, group, best, w) {
			return
		}
	}
}

// provenSince reports whether a primary has proven its lead since then.
func (s *Steward) provenSince(group string, since time.Duration) bool {
	proven := false
	s.Leads.With(group, func(l *leadership.Group) { proven = l.ProvenAt() >= since })
	return proven
}

// handOver replaces a primary that is leaving. It stops taking writes first, so
// that its successor can receive all of its log.
func (s *Steward) handOver(ctx context.Context, group string, primary *catalog.Server, w *watch) {
	defer s.finish(w)
	if _, ok := succession.Best(s.candidates(ctx, group, primary)); !ok {
		s.Logger.WithField("group", group).Error("promotion: no server can take over from the leaving primary.")
		return
	}
	// An order that changes nothing shows that the platform answers: without a
	// successor the group must not lose its primary.
	if !s.order(ctx, group, primary, w) {
		return
	}
	term := uint64(0)
	s.Leads.With(group, func(l *leadership.Group) { term = l.Term() })
	last, err := s.report(ctx, group, primary, statement.Command{Verb: statement.StepDown, Term: term + 1})
	if err != nil {
		s.Logger.WithError(err).WithField("server", primary.ID).Warn("promotion: the leaving primary did not step down.")
	}
	s.Logger.WithFields(log.Fields{"group": group, "server": primary.ID, "position": last.Received.Position}).Info("promotion: the leaving primary stepped down.")
	deadline := time.Now().Add(catchUp)
	var best succession.Candidate
	for {
		var ok bool
		best, ok = succession.Best(s.candidates(ctx, group, primary))
		if ok && succession.Holds(best.Received, last.Received) || time.Now().After(deadline) || ctx.Err() != nil {
			break
		}
		time.Sleep(catchUpCheck)
	}
	for range maxOrders {
		if best.Server == nil || ctx.Err() != nil || s.promote(ctx, group, best, w) {
			return
		}
	}
}

// promote orders a promotion, waits for its effect and reports whether the
// server leads.
func (s *Steward) promote(ctx context.Context, group string, c succession.Candidate, w *watch) bool {
	if !s.order(ctx, group, c.Server, w) {
		return false
	}
	ordered := clock.Now()
	deadline := time.Now().Add(succession.RepeatAfter)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		proven := make(chan bool, 1)
		sentAt := clock.Now()
		s.run(group, c.Server, statement.Work{Opens: true, Command: statement.Command{Verb: statement.Rollback}}, func(r statement.Result) {
			if r.Proven {
				s.Leads.With(group, func(l *leadership.Group) { l.Prove(c.Server.ID, r.Answer.At, sentAt) })
			}
			proven <- r.Proven
		})
		select {
		case <-ctx.Done():
			return false
		case leads := <-proven:
			if leads {
				s.steps[stepLead].RecordDuration(clock.Now() - ordered)
				s.Logger.WithFields(log.Fields{"group": group, "server": c.Server.ID}).Info("promotion: the new primary leads.")
				return true
			}
		}
		time.Sleep(catchUpCheck)
	}
	return false
}

// fence orders the present primary to stay, so that an order whose answer was
// lost has no effect when it is carried out late.
func (s *Steward) fence(ctx context.Context, group string, primary *catalog.Server, w *watch) {
	defer s.finish(w)
	s.order(ctx, group, primary, w)
}

// order gives one order and reports whether it was carried out.
func (s *Steward) order(ctx context.Context, group string, server *catalog.Server, w *watch) bool {
	token, ok := s.token()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s.orders.Inc(1)
	begin := clock.Now()
	err := s.Platform.Promote(ctx, group, server.ID, s.Name, token)
	s.steps[stepOrder].RecordDuration(clock.Now() - begin)
	refused := errors.Is(err, ErrRefused)
	s.mu.Lock()
	if err != nil && !refused {
		w.unanswered = true
	} else if err == nil {
		w.unanswered = false
	}
	if refused {
		// Another VM may have claimed the duty: claim it anew.
		s.nextToken, s.endToken = 0, 0
	}
	s.mu.Unlock()
	entry := s.Logger.WithFields(log.Fields{"group": group, "server": server.ID, "token": token})
	if err != nil {
		entry.WithError(err).Warn("promotion: order not confirmed.")
		return false
	}
	entry.Info("promotion: order carried out.")
	return true
}

func (s *Steward) finish(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.busy = false
	w.failures, w.refusals = 0, 0
	w.since = clock.Now()
}
