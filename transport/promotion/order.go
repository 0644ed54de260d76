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

// queryPrimary requests a leadership confirmation from the primary.
func (s *Steward) queryPrimary(group string, primary *catalog.Server, gs *groupState) {
	sentAt := clock.Now()
	s.runOnServer(group, primary, statement.RemoteStatement{
		BeginsTx: true, Command: statement.Command{Verb: statement.Rollback},
	}, func(r statement.Result) {
		s.Leadership.With(group, func(l *leadership.Group) {
			switch {
			case r.PrimaryConfirmed:
				l.RecordConfirmation(primary.ID, r.Answer.At, sentAt)
			case r.Answer.Code == statement.ReadOnly:
				l.RecordNotPrimary(primary)
			}
		})
		s.mu.Lock()
		defer s.mu.Unlock()
		gs.queryPending = false
		if !r.PrimaryConfirmed {
			gs.failures++
		}
		if r.Answer.Code == statement.Down {
			gs.refusals++
		}
	})
}

// runOnServer runs a command of the coordinator itself on a server. It uses a
// connection of the customer with the highest rate, because that is the most
// likely one to be open.
func (s *Steward) runOnServer(group string, server *catalog.Server, w statement.RemoteStatement, done func(statement.Result)) {
	w.Group, w.Server, w.Customer = group, server.ID, s.connectionCustomer()
	w.Timeout, w.Wait = queryTimeout, queryTimeout
	vm, ok := s.View().Executor(w.Customer, server)
	if !ok {
		vm = s.Name
	}
	s.Runner.Run(vm, &w, done)
}

func (s *Steward) connectionCustomer() string {
	best := ""
	rate := -1.0
	for _, c := range s.Table.Current().Config.Customers {
		if c.Rate > rate {
			best, rate = c.Name, c.Rate
		}
	}
	return best
}

// queryServer queries a server for its role and position.
func (s *Steward) queryServer(ctx context.Context, group string, server *catalog.Server, c statement.Command) (sqlback.Report, error) {
	results := make(chan statement.Result, 1)
	s.runOnServer(group, server, statement.RemoteStatement{Command: c}, func(r statement.Result) { results <- r })
	select {
	case <-ctx.Done():
		return sqlback.Report{}, ctx.Err()
	case r := <-results:
		if r.Answer.Code != statement.OK || len(r.Answer.Rows) != 1 {
			return sqlback.Report{}, eris.Errorf("the server returned no report: %s %s", r.Answer.Code, r.Answer.Text)
		}
		return s.Reports.DecodeReport(r.Answer.Rows[0])
	}
}

// queryCandidates queries the group's servers except the primary for their
// positions.
func (s *Steward) queryCandidates(ctx context.Context, group string, primary *catalog.Server) []succession.Candidate {
	d := s.Table.Current()
	servers := d.GroupServers(group)
	answers := make(chan *succession.Candidate, len(servers))
	for _, server := range servers {
		if primary != nil && server.ID == primary.ID {
			answers <- nil
			continue
		}
		go func() {
			r, err := s.queryServer(ctx, group, server, statement.Command{Verb: statement.Status})
			if err != nil {
				s.Logger.WithError(err).WithFields(log.Fields{"group": group, "server": server.ID}).Warn("promotion: a server did not report its position.")
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

// replacePrimary promotes another server because the primary is lost. Orders
// that are not confirmed are repeated with a new fencing token.
func (s *Steward) replacePrimary(ctx context.Context, group string, primary *catalog.Server, gs *groupState) {
	defer s.finishPromotion(gs)
	startedAt := clock.Now()
	for range maxOrders {
		best, ok := succession.Best(s.queryCandidates(ctx, group, primary))
		if !ok {
			s.Logger.WithField("group", group).Error("promotion: no server can take over.")
			return
		}
		if ctx.Err() != nil || s.confirmedSince(group, startedAt) || s.promote(ctx, group, best, gs) {
			return
		}
	}
}

// confirmedSince reports whether a primary has confirmed its leadership since then.
func (s *Steward) confirmedSince(group string, since time.Duration) bool {
	confirmed := false
	s.Leadership.With(group, func(l *leadership.Group) { confirmed = l.ConfirmedAt() >= since })
	return confirmed
}

// handOver replaces a primary that is being taken out of service. The primary
// stops accepting writes first, so that its successor can receive its complete
// log.
func (s *Steward) handOver(ctx context.Context, group string, primary *catalog.Server, gs *groupState) {
	defer s.finishPromotion(gs)
	if _, ok := succession.Best(s.queryCandidates(ctx, group, primary)); !ok {
		s.Logger.WithField("group", group).Error("promotion: no server can take over from the leaving primary.")
		return
	}
	// An order that does not change the primary verifies that the platform
	// responds. If the primary stepped down and no successor could be promoted,
	// the group would have no primary.
	if !s.giveOrder(ctx, group, primary, gs) {
		return
	}
	term := uint64(0)
	s.Leadership.With(group, func(l *leadership.Group) { term = l.Term() })
	last, err := s.queryServer(ctx, group, primary, statement.Command{Verb: statement.StepDown, Term: term + 1})
	if err != nil {
		s.Logger.WithError(err).WithField("server", primary.ID).Warn("promotion: the leaving primary did not step down.")
	}
	s.Logger.WithFields(log.Fields{"group": group, "server": primary.ID, "position": last.Received.Position}).Info("promotion: the leaving primary stepped down.")
	deadline := time.Now().Add(catchUpTimeout)
	var best succession.Candidate
	for {
		var ok bool
		best, ok = succession.Best(s.queryCandidates(ctx, group, primary))
		if ok && succession.Holds(best.Received, last.Received) || time.Now().After(deadline) || ctx.Err() != nil {
			break
		}
		time.Sleep(catchUpInterval)
	}
	for range maxOrders {
		if best.Server == nil || ctx.Err() != nil || s.promote(ctx, group, best, gs) {
			return
		}
	}
}

// promote orders a promotion, waits for it to take effect, and reports whether
// the server has become the primary.
func (s *Steward) promote(ctx context.Context, group string, c succession.Candidate, gs *groupState) bool {
	if !s.giveOrder(ctx, group, c.Server, gs) {
		return false
	}
	ordered := clock.Now()
	deadline := time.Now().Add(succession.RepeatAfter)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		confirmed := make(chan bool, 1)
		sentAt := clock.Now()
		s.runOnServer(group, c.Server, statement.RemoteStatement{BeginsTx: true, Command: statement.Command{Verb: statement.Rollback}}, func(r statement.Result) {
			if r.PrimaryConfirmed {
				s.Leadership.With(group, func(l *leadership.Group) { l.RecordConfirmation(c.Server.ID, r.Answer.At, sentAt) })
			}
			confirmed <- r.PrimaryConfirmed
		})
		select {
		case <-ctx.Done():
			return false
		case isPrimary := <-confirmed:
			if isPrimary {
				s.steps[stepConfirm].RecordDuration(clock.Now() - ordered)
				s.Logger.WithFields(log.Fields{"group": group, "server": c.Server.ID}).Info("promotion: the new primary has confirmed its leadership.")
				return true
			}
		}
		time.Sleep(catchUpInterval)
	}
	return false
}

// supersedeOrder orders the current primary to remain the primary. An earlier
// order whose answer was lost then has no effect if it is executed late.
func (s *Steward) supersedeOrder(ctx context.Context, group string, primary *catalog.Server, gs *groupState) {
	defer s.finishPromotion(gs)
	s.giveOrder(ctx, group, primary, gs)
}

// giveOrder gives one order to the platform and reports whether it was
// executed.
func (s *Steward) giveOrder(ctx context.Context, group string, server *catalog.Server, gs *groupState) bool {
	token, ok := s.nextFencingToken()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s.orderCount.Inc(1)
	begin := clock.Now()
	err := s.Platform.Promote(ctx, group, server.ID, s.Name, token)
	s.steps[stepOrder].RecordDuration(clock.Now() - begin)
	refused := errors.Is(err, ErrRefused)
	s.mu.Lock()
	if err != nil && !refused {
		gs.orderUnconfirmed = true
	} else if err == nil {
		gs.orderUnconfirmed = false
	}
	if refused {
		// Another VM may have claimed the duty, so this VM has to claim it
		// again.
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

func (s *Steward) finishPromotion(gs *groupState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gs.promoting = false
	gs.failures, gs.refusals = 0, 0
	gs.watchedSince = clock.Now()
}
