package share

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// VMs apply tickets at different times. The sum of the base shares keeps to the
// limit because at every moment there is a ticket under whose base shares every
// VM stays: the highest one that all VMs have applied ("agreed"). A VM stays
// below its base shares under every ticket that it has applied, from the highest
// one that it knows to be agreed. A VM that lacks the agreed ticket itself (it
// started later) has no base share until a ticket that it has is agreed.

// Start prepares the shares of a new process. firstProcess says that no process
// of this VM's name ran in the last ConnectionLoanPeriod, so that none can have
// lent connections; say so only if it is certain.
func Start(t *state.ShareTable, static, firstProcess bool) {
	t.With(func(s *state.Shares) {
		s.Static = static
		s.FirstProcess = firstProcess
	})
}

// Agreed returns the highest ticket that every VM is known to have applied.
// reports holds the ticket that each VM last reported as applied, this VM
// included. A VM counts for a ticket only if it was seen to report exactly this
// one: a VM that reports a later ticket may have skipped it, and would not keep
// to its base shares under it.
func Agreed(t *state.ShareTable, reports map[string]uint64) uint64 {
	var agreed uint64
	t.With(func(s *state.Shares) {
		noteReports(s, reports)
		agreed = s.Agreed
		for i := len(s.Tickets) - 1; i >= 0 && s.Tickets[i].Config.Ticket.Number > agreed; i-- {
			if appliedByAll(s, i) {
				agreed = s.Tickets[i].Config.Ticket.Number
			}
		}
	})
	return agreed
}

func noteReports(s *state.Shares, reports map[string]uint64) {
	for vm, ticket := range reports {
		i := slices.IndexFunc(s.Tickets, func(t state.TicketShares) bool { return t.Config.Ticket.Number == ticket })
		if i < 0 {
			if n := len(s.Tickets); n > 0 && ticket > s.Tickets[0].Config.Ticket.Number {
				delete(s.Idle, vm) // it may be in service under a ticket that this VM skipped
			}
			continue
		}
		s.Tickets[i].Applied[vm] = true
		if servesIn(s.Tickets[i].Config, vm) {
			delete(s.Idle, vm)
		} else {
			s.Idle[vm] = true
		}
	}
}

// appliedByAll reports whether every VM listed in the newest ticket has applied
// the i-th one. A VM that applied its removal from service and has not been put
// back since spends nothing, and may be switched off.
func appliedByAll(s *state.Shares, i int) bool {
	newest := s.Tickets[len(s.Tickets)-1].Config
	for _, dc := range newest.DataCentres {
		for _, vm := range dc.VMs {
			idle := s.Idle[vm.Name] && !servesIn(newest, vm.Name)
			if !idle && !s.Tickets[i].Applied[vm.Name] {
				return false
			}
		}
	}
	return true
}

func servesIn(config *state.Config, vm string) bool {
	v, dc := config.VM(vm)
	return v != nil && dc.State == state.InService && v.State == state.InService
}

// Recompute derives the base shares after a new ticket, or after agreed (see
// Agreed) has changed. What another VM knows to be agreed may be passed too. A
// new process may also pass the configurations that a neighbour keeps to
// (state.ShareTable.Relevant), if it fetched them after its lease hold began.
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
		shares = sharesUnder(config, tables.Self, static)
	}
	tables.Shares.With(func(s *state.Shares) {
		syncHold(s, hold)
		advanceAll(s, hold, now)
		s.Agreed = max(s.Agreed, agreed)
		if !known {
			shares.Since = now
			insertTicket(s, shares)
		}
		dropTickets(s)
		rebase(s)
	})
}

// sharesUnder computes this VM's base shares under one ticket.
func sharesUnder(config *state.Config, self state.Self, static bool) state.TicketShares {
	l := layoutOf(config, static)
	shares := state.TicketShares{
		Config:   config,
		Requests: make(map[string]state.RateShare),
		Units:    make(map[string]int),
		VMs:      len(l.all),
		Applied:  make(map[string]bool),
	}
	for name, customer := range config.Customers {
		shares.Requests[name] = l.requestShare(customer, self.Name, self.DataCentre)
	}
	for _, group := range config.Groups {
		for _, server := range group.Servers {
			shares.Units[server.Name] = l.units(server.Name, server.Connections, self.Name, self.DataCentre)
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

// dropTickets drops the tickets that no VM needs to stay below any more. The
// newest one is kept always.
func dropTickets(s *state.Shares) {
	for len(s.Tickets) > 1 && s.Tickets[0].Config.Ticket.Number < s.Agreed {
		s.Tickets = slices.Delete(s.Tickets, 0, 1)
	}
}

// complete reports whether this VM has the agreed ticket.
func complete(s *state.Shares) bool {
	return len(s.Tickets) > 0 && s.Agreed != 0 && s.Tickets[0].Config.Ticket.Number == s.Agreed
}

// rebase sets the base shares to the smallest under the relevant tickets.
func rebase(s *state.Shares) {
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
		rebaseCustomer(s, c, newest.Customers[name])
	}
	for _, c := range s.Servers {
		rebaseServer(s, c)
	}
}

func rebaseCustomer(s *state.Shares, c *state.CustomerShare, customer *state.Customer) {
	c.Loans.Holders = nil
	c.Limit, c.Base = state.RateShare{}, state.RateShare{}
	if customer != nil {
		c.Limit = state.RateShare{Rate: customer.Rate, Burst: customer.Burst}
	}
	if complete(s) {
		c.Base = s.Tickets[0].Requests[c.Name]
		for _, t := range s.Tickets[1:] {
			c.Base.Rate = min(c.Base.Rate, t.Requests[c.Name].Rate)
			c.Base.Burst = min(c.Base.Burst, t.Requests[c.Name].Burst)
		}
	}
	c.Level = min(c.Level, capacity(c))
}

func rebaseServer(s *state.Shares, c *state.ConnectionShare) {
	c.Loans.Holders = nil
	c.Base, c.ReportedBase, c.Lendable = 0, 0, 0
	if !complete(s) {
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
		c.MaxLendable = max(c.MaxLendable, lendable(units, c.Limit, t.VMs))
	}
	c.Lendable = lendable(c.Base, c.Limit, s.Tickets[len(s.Tickets)-1].VMs)
}

// lendable is the number of units that a VM may lend out of its base share. It
// is half, because a new process of the VM does not know what the one before it
// lent, and can use at once what was not lendable. A single unit is lendable
// where some VMs have none.
func lendable(units, limit, vms int) int {
	if units == 1 && limit < vms {
		return 1
	}
	return units / 2
}

// syncHold starts the buckets anew when a lease hold has begun. Another process
// of this VM's name may have spent from the same shares until then.
func syncHold(s *state.Shares, hold state.Hold) {
	if hold.Since.Equal(s.HeldSince) {
		return
	}
	if !(s.HeldSince.IsZero() && s.FirstProcess) {
		s.EarlierLoansTill = hold.Since.Add(ConnectionLoanPeriod + lease.Margin(ConnectionLoanPeriod))
	}
	s.HeldSince = hold.Since
	for _, c := range s.Customers {
		c.Level = 0
	}
	forgetTickets(s)
	rebase(s)
}

// forgetTickets keeps the newest ticket only. The other process may have
// reported a ticket that this one has not seen as applied, so that what this one
// held to be relevant may not be so any more.
func forgetTickets(s *state.Shares) {
	n := len(s.Tickets)
	if n == 0 {
		return
	}
	s.Tickets = s.Tickets[n-1:]
	if s.Agreed != s.Tickets[0].Config.Ticket.Number {
		s.Agreed = 0
	}
}

// AppliedTicket returns the ticket that this VM reports as applied. A new ticket
// is reported once nothing that exceeds this VM's share under it is lent or in
// use any more, and once no confirmation is in use that this VM gave, as a voter
// for others, under an older list of voters.
func AppliedTicket(tables *state.Tables, now time.Time) uint64 {
	hold := tables.Lease.Hold()
	var started time.Time
	tables.Lease.With(func(l *state.Lease) { started = l.Started })
	var reported uint64
	tables.Shares.With(func(s *state.Shares) {
		syncHold(s, hold)
		advanceAll(s, hold, now)
		if n := len(s.Tickets); n > 0 && hold.Valid(now) && now.Sub(started) >= lease.Exclusive {
			newest := &s.Tickets[n-1]
			number := newest.Config.Ticket.Number
			if s.Reported != number && votesSettled(s, tables.Self.DataCentre, now) && fits(tables, s, newest, now) {
				s.Reported = number
				rebase(s)
			}
		}
		reported = s.Reported
	})
	return reported
}

// votesSettled reports whether the newest ticket leaves the list of VMs of this
// data centre as it was, or was applied long enough ago.
func votesSettled(s *state.Shares, dataCentre string, now time.Time) bool {
	newest := s.Tickets[len(s.Tickets)-1]
	if now.Sub(newest.Since) >= lease.Exclusive {
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

// fits reports whether everything lent or in use is within the ticket's shares.
// Connections lent must be within what is lendable, since that is what the next
// process of this VM takes to be lent at most.
func fits(tables *state.Tables, s *state.Shares, t *state.TicketShares, now time.Time) bool {
	for name, c := range s.Customers {
		rate, burst := lentOut(&c.Loans)
		if rate > t.Requests[name].Rate || burst > t.Requests[name].Burst {
			return false
		}
	}
	earlier := now.Before(s.EarlierLoansTill) && s.Agreed != t.Config.Ticket.Number
	if earlier && !complete(s) && !s.Static {
		return false
	}
	for name, c := range s.Servers {
		lent := lentUnits(&c.Loans)
		if earlier {
			lent = max(lent, c.MaxLendable)
		}
		if lent > lendable(t.Units[name], c.Limit, t.VMs) {
			return false
		}
	}
	return connectionsFit(tables, s, now)
}

func connectionsFit(tables *state.Tables, s *state.Shares, now time.Time) bool {
	ok := true
	tables.Backends.Each(func(b *state.ServerConns) {
		if c := s.Servers[b.Server]; c != nil && b.Open() > ownUnits(s, c, c.Base, now)+borrowedUnits(&c.Loans, now) {
			ok = false
		}
	})
	return ok
}
