package chestnutdyke

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/drain"
	"github.com/chestnutdyke/chestnutdyke/protocol/adminapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// Status returns the state that the admin interface reports to operators. With
// brief set, or without a configuration, it omits the lists of VMs, members,
// groups and shares.
func (v *VM) Status(brief bool) adminapi.Status {
	now := time.Now()
	cfg := v.tables.Config.Current()
	self := v.tables.Self
	s := adminapi.Status{
		Name:        self.Name,
		DataCentre:  self.DataCentre,
		Incarnation: self.Incarnation,
		State:       drain.VMState(cfg, self.Name, self.DataCentre),
		Config:      v.configStatus(cfg, now),
		Sessions:    v.sessionStatus(),
	}
	if brief || cfg == nil {
		return s
	}
	s.VMs = adminapi.ListVMs(cfg)
	s.Members = v.memberStatus(now)
	s.Groups = v.groupStatus()
	s.Shares = v.shareStatus()
	return s
}

func (v *VM) configStatus(cfg *state.Config, now time.Time) adminapi.Config {
	fresh := v.tables.Config.Freshness()
	c := adminapi.Config{
		Applied:      v.limits.Applied(),
		Confirmed:    !fresh.ConfirmedAt.IsZero(),
		StoreReached: fresh.StoreReached,
		StoreDown:    fresh.StoreDown,
	}
	if cfg != nil {
		c.Ticket, c.Digest = cfg.Ticket.Number, cfg.Ticket.Digest
	}
	if c.Confirmed {
		c.Age = now.Sub(fresh.ConfirmedAt)
	}
	return c
}

func (v *VM) sessionStatus() adminapi.Sessions {
	var s adminapi.Sessions
	for _, session := range v.tables.Sessions.All() {
		s.Open++
		session.Lock()
		if session.InTransaction {
			s.InTransaction++
		}
		switch session.Phase {
		case state.PhaseAdmission, state.PhasePosition, state.PhaseConnection:
			s.Waiting++
		}
		session.Unlock()
	}
	return s
}

func (v *VM) memberStatus(now time.Time) []adminapi.Member {
	var members []adminapi.Member
	for _, m := range v.tables.Members.All() {
		members = append(members, adminapi.Member{
			Name:        m.Name,
			DataCentre:  m.DataCentre,
			Incarnation: m.Incarnation,
			State:       m.State,
			Applied:     m.AppliedTicket,
			Age:         m.Age(now),
		})
	}
	return members
}

func (v *VM) groupStatus() []adminapi.Group {
	var groups []adminapi.Group
	v.tables.Groups.Each(func(g *state.GroupState) {
		groups = append(groups, adminapi.Group{Name: g.Name, Term: g.Term, Primary: g.Primary})
	})
	return groups
}

func (v *VM) shareStatus() []adminapi.Share {
	var shares []adminapi.Share
	v.tables.Shares.With(func(s *state.Shares) {
		for name, c := range s.Customers {
			shares = append(shares, newShare(name, c))
		}
	})
	return shares
}

func newShare(name string, c *state.CustomerShare) adminapi.Share {
	share := adminapi.Share{Customer: name, Rate: c.Base.Rate, Burst: c.Base.Burst, Tokens: c.Level}
	for i := range c.Loans.Lent {
		share.Lent += c.Loans.Lent[i].Rate
	}
	for i := range c.Loans.Borrowed {
		if b := &c.Loans.Borrowed[i]; b.Phase == state.LoanActive {
			share.Borrowed += b.Rate
			share.Burst += b.Burst
		}
	}
	share.Rate += share.Borrowed - share.Lent
	return share
}
