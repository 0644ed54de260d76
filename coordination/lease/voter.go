package lease

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Confirm answers a query of the named VM. Only the highest known incarnation
// is confirmed, and only if no confirmation of another one can still be in use.
func Confirm(tables *state.Tables, from string, q Query, now time.Time) Answer {
	config := tables.Config.Current()
	agreed := tables.Shares.Agreed()
	answer := Answer{Number: q.Number}
	tables.Lease.With(func(l *state.Lease) {
		record := l.Record(from)
		record.Highest = max(record.Highest, q.Incarnation)
		answer.Highest = record.Highest
		switch {
		case l.Started.IsZero() || now.Sub(l.Started) < ExclusivePeriod:
			// The previous process of this VM may have confirmed any incarnation.
		case l.Superseded:
			// Another process votes under this VM's name.
		case q.Incarnation < record.Highest:
		case record.Confirmed != 0 && record.Confirmed != q.Incarnation && now.Sub(record.ConfirmedAt) < ExclusivePeriod:
		case senderOutdated(config, agreed, from, q):
		default:
			record.Confirmed, record.ConfirmedAt = q.Incarnation, now
			answer.Confirmed = true
		}
	})
	return answer
}

// senderOutdated reports whether the sender uses a configuration that is known
// to be replaced: it queries other voters than the current ones, or lacks a
// ticket that all VMs have applied. This happens to processes that were paused
// or cut off for long while another process took over their name.
func senderOutdated(config *state.Config, agreed uint64, from string, q Query) bool {
	if q.Ticket < agreed {
		return true
	}
	return config != nil && q.Ticket < config.Ticket.Number && q.Voters != VotersOf(config, from).digest()
}

// ObserveIncarnation records an incarnation that was learned through the exchange
// between VMs.
func ObserveIncarnation(tables *state.Tables, name string, incarnation uint64) {
	tables.Lease.With(func(l *state.Lease) {
		if name == tables.Self.Name {
			l.Superseded = l.Superseded || incarnation > tables.Self.Incarnation
			return
		}
		record := l.Record(name)
		record.Highest = max(record.Highest, incarnation)
	})
}

// StoreAnswer returns the store's answer to a query. stored is the incarnation
// in the VM's lease object, read or written after the query was sent. If write
// is true, the answer must not be used; the object must first be updated
// conditionally to the query's incarnation.
func StoreAnswer(q Query, stored uint64) (answer Answer, write bool) {
	answer = Answer{Number: q.Number, Highest: max(stored, q.Incarnation)}
	answer.Confirmed = stored == q.Incarnation
	return answer, stored < q.Incarnation
}
