package lease

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// QueryTo returns the query to send to one voter now. It reports false if that
// VM, or the store, is no voter of this VM. now must not be later than the
// moment of sending, because confirmations are counted from it.
func QueryTo(tables *state.Tables, voter string, now time.Time) (Query, bool) {
	config := tables.Config.Current()
	voters := VotersOf(config, tables.Self.Name)
	if !slices.Contains(voters.names(), voter) {
		return Query{}, false
	}
	var q Query
	sent := false
	tables.Lease.With(func(l *state.Lease) {
		forgetOld(l, now)
		if l.Superseded {
			return
		}
		l.NextQuery++
		l.Queries[l.NextQuery] = state.LeaseQuery{Voter: voter, SentAt: now}
		sent = true
		q = Query{
			Number:      l.NextQuery,
			Incarnation: tables.Self.Incarnation,
			Ticket:      config.Ticket.Number,
			Voters:      voters.digest(),
		}
	})
	return q, sent
}
