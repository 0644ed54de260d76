// Package connbudget decides how a connection owner uses its share of the connections
// that a backend server accepts.
//
// A connection belongs to one customer. The owner's share goes to whichever of its
// customers has statements waiting. A customer keeps its idle connections until another
// one needs them. Opening a connection takes a slot of the server for about as long as
// a statement, so connections move between customers only after a minimum idle time, or
// when a customer would otherwise wait for too long. Customers that wait at the same
// time are ordered by start-time fair queueing over the time for which they use
// connections.
package connbudget

import (
	"slices"
	"time"
)

const (
	// jobsPerDial is the number of waiting statements for each further connection of a
	// customer that is opened at the same time. A handshake takes a slot on the server
	// for about as long as a statement, so more at once delay statements.
	jobsPerDial = 4
	// connectionsPerDial is the number of connections in a share for each further one
	// that is opened at the same time for any customer.
	connectionsPerDial = 8
	// spareIdle is the minimum idle time of a connection whose customer has others.
	spareIdle = 50 * time.Millisecond
	// lastIdle is the minimum idle time of a customer's last connection. A customer that
	// was idle for longer has it reclaimed like a spare one.
	lastIdle = 500 * time.Millisecond
	// patience is how long a customer waits before a connection is reclaimed that has been
	// idle for less than that. A customer with other connections may get one of those
	// before, which saves a handshake. With the handshake, the wait is less than the fifth
	// of the time-out that a statement may wait for a connection.
	patience = 20 * time.Millisecond
	// patientLastIdle replaces lastIdle once the patience of a customer has ended.
	patientLastIdle = 100 * time.Millisecond
	// urgentLastIdle replaces lastIdle for a customer without a connection whose patience
	// has ended; spare connections need not have been idle for it.
	urgentLastIdle = 50 * time.Millisecond
	// maxLead is how much more connection time, in seconds per unit of weight, a customer
	// may have used than a waiting customer that has a connection too, before one of its
	// connections moves.
	maxLead = 1.0
)

// Account is the fair-queueing account of a customer at one server. The zero value has
// used nothing.
type Account struct {
	finish     float64 // seconds of connection time per unit of weight
	backlogged bool    // statements wait
}

// Server is the fair queue of one server at one owner. The zero value is ready to use.
type Server struct {
	virtual float64 // finish of the accounts that were served last
}

// Wait records that a customer has a statement waiting.
func (s *Server) Wait(a *Account) {
	if !a.backlogged {
		a.backlogged, a.finish = true, max(a.finish, s.virtual)
	}
}

// Use records that a customer starts to use a connection, and whether others of its
// statements go on waiting.
func (s *Server) Use(a *Account, stillWaiting bool) {
	if !a.backlogged {
		a.finish = max(a.finish, s.virtual)
	}
	a.backlogged = stillWaiting
	s.virtual = max(s.virtual, a.finish)
}

// Charge records that a customer of the given weight has used a connection for the time.
func (s *Server) Charge(a *Account, weight float64, used time.Duration) {
	a.finish += used.Seconds() / weight
}

// Customer is the present state of a customer at one server.
type Customer struct {
	Account *Account
	Weight  float64 // connections that it is expected to need
	// Floor is the number of connections that other customers leave to it.
	Floor int
	// Foreign says that this VM is not the customer's connection owner. Another VM with
	// a different view may consider it the owner, so it may have one connection beyond
	// the share, out of the reserve.
	Foreign      bool
	Open         int // connections, including those that are being opened
	Starting     int // connections that are being opened
	Idle         int
	IdleSince    time.Time     // of the least recently used idle connection
	Using        time.Duration // for which its connections in use have been used, in total
	Waiting      int           // statements that wait for a connection
	WaitingSince time.Time     // arrival of the oldest of them
}

// key orders customers: the one with the lowest key is served first.
func (c *Customer) key() float64 { return c.Account.finish + c.Using.Seconds()/c.Weight }

// wantsConnection reports whether the customer has statements waiting for which no
// connection is being opened.
func (c *Customer) wantsConnection() bool {
	return c.Waiting > 0 && c.Starting <= (c.Waiting-1)/jobsPerDial
}

// isUrgent reports whether the customer has no connection and has waited for long.
func (c *Customer) isUrgent(now time.Time) bool {
	return c.Open == 0 && now.Sub(c.WaitingSince) >= patience
}

// minIdle returns how long spare connections and last ones of other customers must have
// been idle to be reclaimed for the customer.
func (c *Customer) minIdle(now time.Time) (spare, last time.Duration) {
	switch {
	case now.Sub(c.WaitingSince) < patience:
		return spareIdle, lastIdle
	case c.Open > 0:
		return spareIdle, patientLastIdle
	}
	return 0, urgentLastIdle
}

// Limits are the bounds of an owner at one server.
type Limits struct {
	Share   int // connections to the server
	Reserve int // connections beyond it for foreign customers
}

// Kind is what an Action does.
type Kind uint8

// Values of Kind.
const (
	Nothing Kind = iota
	Open         // open a connection for a customer
	Reclaim      // close the least recently used idle connection of Victim and open one for Customer
	Close        // close the least recently used idle connection of Victim: the share is exceeded
)

// Action is a step to take. Customer and Victim are indexes of the customers.
type Action struct {
	Kind     Kind
	Customer int
	Victim   int
	// At is when a step may become possible without another event, zero if it will not,
	// and Missing the number of customers that wait for a connection of others. They are
	// set for Nothing only.
	At      time.Time
	Missing int
}

// totals are sums over the customers of a server.
type totals struct {
	open, starting, unusedFloors, foreign int
}

func sum(customers []Customer) totals {
	var t totals
	for i := range customers {
		c := &customers[i]
		t.open += c.Open
		t.starting += c.Starting
		t.unusedFloors += max(0, c.Floor-c.Open)
		if c.Foreign && c.Open > 0 {
			t.foreign++
		}
	}
	return t
}

// maxStarting returns how many connections may be opened at the same time.
func (l Limits) maxStarting() int { return 1 + l.Share/connectionsPerDial }

// permits reports whether the customer may open a connection without another one being
// closed.
func (l Limits) permits(c *Customer, t totals) bool {
	if c.Open < c.Floor || t.open+t.unusedFloors < l.Share {
		return true
	}
	return c.Foreign && c.Open == 0 && t.open < l.Share+l.Reserve
}

// Next returns the next step for the customers of a server.
func Next(l Limits, customers []Customer, now time.Time) Action {
	t := sum(customers)
	if l.exceeded(t) {
		if victim, _ := leastRecentlyUsed(customers, -1, now, 0, 0); victim >= 0 {
			return Action{Kind: Close, Victim: victim}
		}
	}
	if t.starting >= l.maxStarting() {
		return Action{}
	}
	var next time.Time
	missing := 0
	for _, i := range waitingOrder(customers) {
		c := &customers[i]
		if l.permits(c, t) {
			return Action{Kind: Open, Customer: i}
		}
		missing++
		if t.open > l.Share {
			continue // closing one connection does not make room for another
		}
		ends := c.WaitingSince.Add(patience)
		if c.Open > 0 && now.Before(ends) {
			next = earlier(next, ends)
			continue
		}
		spare, last := c.minIdle(now)
		victim, at := leastRecentlyUsed(customers, i, now, spare, last)
		if victim >= 0 {
			return Action{Kind: Reclaim, Customer: i, Victim: victim}
		}
		if now.Before(ends) {
			at = earlier(at, ends)
		}
		next = earlier(next, at)
	}
	return Action{At: next, Missing: missing}
}

// exceeded reports whether more connections are open than permitted.
func (l Limits) exceeded(t totals) bool { return t.open > l.Share+min(t.foreign, l.Reserve) }

// Exceeds reports whether a connection that the customer released has just finished using
// is closed because the share fell or a loan ended.
func Exceeds(l Limits, customers []Customer, released int) bool {
	return l.exceeded(sum(customers)) && customers[released].Open > customers[released].Floor
}

// waitingOrder returns the indexes of the customers that want a connection, in the order
// in which they get one.
func waitingOrder(customers []Customer) []int {
	var order []int
	for i := range customers {
		if customers[i].wantsConnection() {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		ka, kb := customers[a].key(), customers[b].key()
		switch {
		case ka < kb:
			return -1
		case ka > kb:
			return 1
		}
		return customers[a].WaitingSince.Compare(customers[b].WaitingSince)
	})
	return order
}

// leastRecentlyUsed returns the customer whose idle connection is closed for the customer
// c: spare connections, and the last ones of customers that have been idle, come before
// other last ones. If there is none, it returns -1 and when there will be one, or zero.
func leastRecentlyUsed(customers []Customer, c int, now time.Time, minSpare, minLast time.Duration) (victim int, at time.Time) {
	victim, victimSpare := -1, false
	for i := range customers {
		v := &customers[i]
		if i == c || v.Idle == 0 || v.Open <= v.Floor {
			continue
		}
		spare := v.Open > 1
		minIdle := minLast
		if spare {
			minIdle = minSpare
		}
		if ready := v.IdleSince.Add(minIdle); now.Before(ready) {
			at = earlier(at, ready)
			continue
		}
		spare = spare || now.Sub(v.IdleSince) >= lastIdle
		if victim < 0 || spare && !victimSpare || spare == victimSpare && v.IdleSince.Before(customers[victim].IdleSince) {
			victim, victimSpare = i, spare
		}
	}
	return victim, at
}

// earlier returns the earlier of two times, of which zero ones do not count.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Yield returns the customer for which a connection is closed that the customer released
// has just finished using, or -1 if it stays with its customer. Transactions that are
// open keep their connection, so it is not called for them.
func Yield(l Limits, customers []Customer, released int, now time.Time) int {
	t := sum(customers)
	r := &customers[released]
	if r.Open <= r.Floor || t.open > l.Share || t.starting >= l.maxStarting() {
		return -1
	}
	for _, i := range waitingOrder(customers) {
		c := &customers[i]
		if i == released {
			continue
		}
		if l.permits(c, t) {
			return -1 // it needs no connection of another customer
		}
		waited := now.Sub(c.WaitingSince)
		switch {
		case c.isUrgent(now) && (r.Waiting == 0 || r.Open > 1 || c.key() < r.key()),
			c.Open > 0 && r.Open > 1 && r.Waiting > 0 && waited >= spareIdle && c.key()+maxLead < r.key():
			return i
		}
	}
	return -1
}
