package lease

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Confirm answers a query of the named VM. Only the highest incarnation known
// is confirmed, and only if no confirmation of another one can still be in use.
func Confirm(tables *state.Tables, from string, q Query, now time.Time) Answer {
	config := tables.Config.Current()
	agreed := tables.Shares.Agreed()
	answer := Answer{Number: q.Number}
	tables.Lease.With(func(l *state.Lease) {
		r := l.Record(from)
		r.Highest = max(r.Highest, q.Incarnation)
		answer.Highest = r.Highest
		switch {
		case l.Started.IsZero() || now.Sub(l.Started) < Exclusive:
			// The process that ran here before may have confirmed anyone.
		case l.Superseded:
			// Another process votes under this VM's name.
		case q.Incarnation < r.Highest:
		case r.Confirmed != 0 && r.Confirmed != q.Incarnation && now.Sub(r.ConfirmedAt) < Exclusive:
		case outdated(config, agreed, from, q):
		default:
			r.Confirmed, r.ConfirmedAt = q.Incarnation, now
			answer.Confirmed = true
		}
	})
	return answer
}

// outdated reports whether the sender acts on a configuration that is known to
// be replaced: it asks another list of voters than it should, or lacks a ticket
// that all VMs had applied. This concerns processes that were paused or cut off
// for long while another one took over their name.
func outdated(config *state.Config, agreed uint64, from string, q Query) bool {
	if q.Ticket < agreed {
		return true
	}
	return config != nil && q.Ticket < config.Ticket.Number && q.Voters != VotersOf(config, from).digest()
}

// Learn records an incarnation that was heard of through the exchange.
func Learn(tables *state.Tables, name string, incarnation uint64) {
	tables.Lease.With(func(l *state.Lease) {
		if name == tables.Self.Name {
			l.Superseded = l.Superseded || incarnation > tables.Self.Incarnation
			return
		}
		r := l.Record(name)
		r.Highest = max(r.Highest, incarnation)
	})
}

// StoreAnswer is the store's answer to a query, given the incarnation in the
// VM's lease object as it was read or written after the query was sent. write
// asks for a conditional update of the object to the query's incarnation first;
// the answer is not usable then.
func StoreAnswer(q Query, stored uint64) (answer Answer, write bool) {
	answer = Answer{Number: q.Number, Highest: max(stored, q.Incarnation)}
	answer.Confirmed = stored == q.Incarnation
	return answer, stored < q.Incarnation
}
