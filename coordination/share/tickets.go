package share

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// VMs apply tickets at different times. The sum of the base shares still stays
// within the limit, because every VM respects its base shares under the agreed
// ticket, which is the highest one that all VMs have applied: a VM uses the minimum
// of its base shares over the tickets that it has applied, starting with the highest
// one that it knows to be agreed. A VM that started too late to have the agreed
// ticket has no base share until a ticket that it has is agreed.

// Start initializes the shares of a new process. firstProcess must be true only if
// it is certain that no process with this VM's name ran in the last
// ConnectionLoanPeriod, and so none can have lent connections.
func Start(t *state.ShareTable, static, firstProcess bool) {
	t.With(func(s *state.Shares) {
		s.Static = static
		s.FirstProcess = firstProcess
	})
}

// Agreed returns the highest ticket that every VM is known to have applied.
// reports holds the ticket that each VM last reported as applied, this VM
// included. A VM counts for a ticket only if it has reported exactly that ticket:
// a VM that reports a later one may have skipped it, and then does not respect its
// base shares under it.
func Agreed(t *state.ShareTable, reports map[string]uint64) uint64 {
	var agreed uint64
	t.With(func(s *state.Shares) {
		recordReports(s, reports)
		agreed = s.Agreed
		for i := len(s.Tickets) - 1; i >= 0 && s.Tickets[i].Config.Ticket.Number > agreed; i-- {
			if appliedByAll(s, i) {
				agreed = s.Tickets[i].Config.Ticket.Number
			}
		}
	})
	return agreed
}

// recordReports records which tickets the VMs report as applied, and which VMs have
// applied their removal from service.
func recordReports(s *state.Shares, reports map[string]uint64) {
	for vm, ticket := range reports {
		i := slices.IndexFunc(s.Tickets, func(t state.TicketShares) bool { return t.Config.Ticket.Number == ticket })
		if i < 0 {
			if n := len(s.Tickets); n > 0 && ticket > s.Tickets[0].Config.Ticket.Number {
				delete(s.Idle, vm) // it may be in service under a ticket that this VM skipped
			}
			continue
		}
		s.Tickets[i].Applied[vm] = true
		if isInService(s.Tickets[i].Config, vm) {
			delete(s.Idle, vm)
		} else {
			s.Idle[vm] = true
		}
	}
}

// appliedByAll reports whether every VM listed in the newest ticket has applied
// the i-th one. A VM that has applied its removal from service and has not been put
// back since is skipped: it spends nothing and may be switched off.
func appliedByAll(s *state.Shares, i int) bool {
	newest := s.Tickets[len(s.Tickets)-1].Config
	for _, dc := range newest.DataCentres {
		for _, vm := range dc.VMs {
			idle := s.Idle[vm.Name] && !isInService(newest, vm.Name)
			if !idle && !s.Tickets[i].Applied[vm.Name] {
				return false
			}
		}
	}
	return true
}

func isInService(config *state.Config, vm string) bool {
	v, dc := config.VM(vm)
	return v != nil && dc.State == state.InService && v.State == state.InService
}

// Recompute updates the base shares after a new ticket or a change of agreed (see
// Agreed). agreed may also come from another VM. A new process may also pass the
// configurations that another VM still respects
// (state.ShareTable.EffectiveConfigs), if it fetched them after its lease hold
// began.
func Recompute(tables *state.Tables, config *state.Config, agreed uint64, now time.Time) {
	hold := tables.Lease.Hold()
	known := false
	static := false
	tables.Shares.With(func(s *state.Shares) {
		static = s.Static
		known = slices.ContainsFunc(s.Tickets, func(t state.TicketShares) bool {
			return t.Config.Ticket.Number == config.Ticket.Number
		})
	})
	var shares state.TicketShares
	if !known {
		shares = computeBaseShares(config, tables.Self, static)
	}
	tables.Shares.With(func(s *state.Shares) {
		resetOnNewHold(s, hold)
		advanceAll(s, hold, now)
		s.Agreed = max(s.Agreed, agreed)
		if !known {
			shares.Since = now
			insertTicket(s, shares)
		}
		pruneTickets(s)
		updateBaseShares(s)
	})
}

// computeBaseShares computes this VM's base shares under one ticket.
func computeBaseShares(config *state.Config, self state.Self, static bool) state.TicketShares {
	placement := newTopology(config, static)
	shares := state.TicketShares{
		Config:   config,
		Requests: make(map[string]state.RateShare),
		Units:    make(map[string]int),
		VMs:      len(placement.all),
		Applied:  make(map[string]bool),
	}
	for name, customer := range config.Customers {
		shares.Requests[name] = placement.requestShare(customer, self.Name, self.DataCentre)
	}
	for _, group := range config.Groups {
		for _, server := range group.Servers {
			shares.Units[server.Name] = placement.connectionShare(server.Name, server.Connections, self.Name, self.DataCentre)
		}
	}
	return shares
}

func insertTicket(s *state.Shares, shares state.TicketShares) {
	number := shares.Config.Ticket.Number
	i, found := slices.BinarySearchFunc(s.Tickets, number, func(t state.TicketShares, n uint64) int {
		switch {
		case t.Config.Ticket.Number < n:
			return -1
		case t.Config.Ticket.Number > n:
			return 1
		}
		return 0
	})
	if !found {
		s.Tickets = slices.Insert(s.Tickets, i, shares)
	}
}

// pruneTickets removes the tickets before the agreed one, whose base shares no
// longer limit this VM. The newest ticket is always kept.
func pruneTickets(s *state.Shares) {
	for len(s.Tickets) > 1 && s.Tickets[0].Config.Ticket.Number < s.Agreed {
		s.Tickets = slices.Delete(s.Tickets, 0, 1)
	}
}

// complete reports whether this VM has the agreed ticket.
func hasAgreedTicket(s *state.Shares) bool {
	return len(s.Tickets) > 0 && s.Agreed != 0 && s.Tickets[0].Config.Ticket.Number == s.Agreed
}

// updateBaseShares sets each base share to its minimum over the stored tickets.
func updateBaseShares(s *state.Shares) {
	if len(s.Tickets) == 0 {
		return
	}
	newest := s.Tickets[len(s.Tickets)-1].Config
	for name := range newest.Customers {
		if s.Customers[name] == nil {
			s.Customers[name] = &state.CustomerShare{Name: name}
		}
	}
	for _, group := range newest.Groups {
		for _, server := range group.Servers {
			if s.Servers[server.Name] == nil {
				s.Servers[server.Name] = &state.ConnectionShare{Server: server.Name}
			}
			s.Servers[server.Name].Limit = server.Connections
		}
	}
	for name, c := range s.Customers {
		updateCustomerBase(s, c, newest.Customers[name])
	}
	for _, c := range s.Servers {
		updateServerBase(s, c)
	}
}

func updateCustomerBase(s *state.Shares, c *state.CustomerShare, customer *state.Customer) {
	c.Loans.LenderCandidates = nil
	c.Limit, c.Base = state.RateShare{}, state.RateShare{}
	if customer != nil {
		c.Limit = state.RateShare{Rate: customer.Rate, Burst: customer.Burst}
	}
	if hasAgreedTicket(s) {
		c.Base = s.Tickets[0].Requests[c.Name]
		for _, t := range s.Tickets[1:] {
			c.Base.Rate = min(c.Base.Rate, t.Requests[c.Name].Rate)
			c.Base.Burst = min(c.Base.Burst, t.Requests[c.Name].Burst)
		}
	}
	c.Level = min(c.Level, capacity(c))
}

func updateServerBase(s *state.Shares, c *state.ConnectionShare) {
	c.Loans.LenderCandidates = nil
	c.Base, c.ReportedBase, c.Lendable = 0, 0, 0
	if !hasAgreedTicket(s) {
		return
	}
	c.Base = s.Tickets[0].Units[c.Server]
	c.ReportedBase = c.Base
	for _, t := range s.Tickets {
		units := t.Units[c.Server]
		c.Base = min(c.Base, units)
		if t.Config.Ticket.Number <= s.Reported {
			c.ReportedBase = min(c.ReportedBase, units)
		}
		c.MaxLendable = max(c.MaxLendable, lendableConnections(units, c.Limit, t.VMs))
	}
	c.Lendable = lendableConnections(c.Base, c.Limit, s.Tickets[len(s.Tickets)-1].VMs)
}

// lendableConnections returns how many connections of its base share a VM may lend.
// It is half of them: a new process of the VM does not know what its predecessor
// lent, and can use the other half at once. A single connection is lendable if some
// VMs have none.
func lendableConnections(units, limit, vms int) int {
	if units == 1 && limit < vms {
		return 1
	}
	return units / 2
}

// resetOnNewHold empties the buckets when a new lease hold has begun. Another process
// with this VM's name may have spent from the same shares until then.
func resetOnNewHold(s *state.Shares, hold state.LeaseHold) {
	if hold.Since.Equal(s.HeldSince) {
		return
	}
	if !(s.HeldSince.IsZero() && s.FirstProcess) {
		s.PredecessorLoansEnd = hold.Since.Add(ConnectionLoanPeriod + lease.Margin(ConnectionLoanPeriod))
	}
	s.HeldSince = hold.Since
	for _, c := range s.Customers {
		c.Level = 0
	}
	keepNewestTicket(s)
	updateBaseShares(s)
}

// keepNewestTicket removes all tickets but the newest. The other process may have
// reported a ticket as applied that this one has not seen, so the set of tickets
// that this process respects may be outdated.
func keepNewestTicket(s *state.Shares) {
	n := len(s.Tickets)
	if n == 0 {
		return
	}
	s.Tickets = s.Tickets[n-1:]
	if s.Agreed != s.Tickets[0].Config.Ticket.Number {
		s.Agreed = 0
	}
}

// AppliedTicket returns the ticket that this VM reports as applied. A new ticket is
// reported once loans and open connections fit this VM's share under it, and once
// the lease confirmations that this VM gave as a voter under an older list of voters
// have expired.
func AppliedTicket(tables *state.Tables, now time.Time) uint64 {
	hold := tables.Lease.Hold()
	var started time.Time
	tables.Lease.With(func(l *state.Lease) { started = l.Started })
	var reported uint64
	tables.Shares.With(func(s *state.Shares) {
		resetOnNewHold(s, hold)
		advanceAll(s, hold, now)
		if n := len(s.Tickets); n > 0 && hold.Valid(now) && now.Sub(started) >= lease.ExclusivePeriod {
			newest := &s.Tickets[n-1]
			number := newest.Config.Ticket.Number
			if s.Reported != number && voterChangeSettled(s, tables.Self.DataCentre, now) && usageFitsTicket(tables, s, newest, now) {
				s.Reported = number
				updateBaseShares(s)
			}
		}
		reported = s.Reported
	})
	return reported
}

// voterChangeSettled reports whether the newest ticket leaves the VMs of this data
// centre unchanged, or was applied at least lease.ExclusivePeriod ago.
func voterChangeSettled(s *state.Shares, dataCentre string, now time.Time) bool {
	newest := s.Tickets[len(s.Tickets)-1]
	if now.Sub(newest.Since) >= lease.ExclusivePeriod {
		return true
	}
	for _, t := range s.Tickets {
		old, latest := t.Config.DataCentres[dataCentre], newest.Config.DataCentres[dataCentre]
		if old == nil || latest == nil || !slices.Equal(old.VMs, latest.VMs) {
			return false
		}
	}
	return true
}

// usageFitsTicket reports whether loans and open connections fit this VM's shares
// under the ticket. Connections lent must fit the lendable part, because the next
// process of this VM assumes that no more than that is lent.
func usageFitsTicket(tables *state.Tables, s *state.Shares, t *state.TicketShares, now time.Time) bool {
	for name, c := range s.Customers {
		rate, burst := totalLent(&c.Loans)
		if rate > t.Requests[name].Rate || burst > t.Requests[name].Burst {
			return false
		}
	}
	earlierLoans := now.Before(s.PredecessorLoansEnd) && s.Agreed != t.Config.Ticket.Number
	if earlierLoans && !hasAgreedTicket(s) && !s.Static {
		return false
	}
	for name, c := range s.Servers {
		lent := lentConnections(&c.Loans)
		if earlierLoans {
			lent = max(lent, c.MaxLendable)
		}
		if lent > lendableConnections(t.Units[name], c.Limit, t.VMs) {
			return false
		}
	}
	return openConnectionsFit(tables, s, now)
}

func openConnectionsFit(tables *state.Tables, s *state.Shares, now time.Time) bool {
	ok := true
	tables.Backends.Each(func(b *state.ServerConns) {
		if c := s.Servers[b.Server]; c != nil && b.Open() > ownConnections(s, c, c.Base, now)+borrowedConnections(&c.Loans, now) {
			ok = false
		}
	})
	return ok
}
