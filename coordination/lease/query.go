package lease

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// QueryTo returns the query to send to one voter now. It returns false if voter
// is not one of this VM's voters or this process is superseded. now must not be
// later than the time of sending, because the validity of the confirmation is
// counted from it.
func QueryTo(tables *state.Tables, voter string, now time.Time) (Query, bool) {
	config := tables.Config.Current()
	voters := VotersOf(config, tables.Self.Name)
	if !slices.Contains(voters.names(), voter) {
		return Query{}, false
	}
	var q Query
	sent := false
	tables.Lease.With(func(l *state.Lease) {
		dropExpiredQueries(l, now)
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
