package lease

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// Duration is how long a confirmation is valid, counted from sending the query.
	Duration = 3 * time.Second
	// QueryInterval is the interval between queries to each voter.
	QueryInterval = 500 * time.Millisecond
)

// Margin is added to a period by the side that must not be the first to see it
// end. It covers clocks that run up to 1 % fast or slow on both sides, and
// 100 ms between reading the clock and using the result.
func Margin(d time.Duration) time.Duration { return d/50 + 100*time.Millisecond }

// ExclusivePeriod is how long a voter that confirmed one incarnation confirms no
// other one. It also applies after a restart, when the previous process may
// have confirmed one.
const ExclusivePeriod = Duration + Duration/50 + 100*time.Millisecond

// OutgoingQuery is a query to be sent to Voter, which is Store for the store that
// holds the lease objects.
type OutgoingQuery struct {
	Voter string
	Query Query
}

// Start records the start time of this process. As a voter, the process confirms
// nothing before Start is called, nor until ExclusivePeriod has passed since then.
func Start(t *state.LeaseTable, now time.Time) {
	t.With(func(l *state.Lease) { l.Started = now })
}

// Valid reports whether this process may spend from its shares now. It must be
// checked before every spend.
func Valid(t *state.LeaseTable, now time.Time) bool { return t.Hold().Valid(now) }

// Queries returns the queries to send to the voters now. now must not be later
// than the time of sending, because the validity of confirmations is counted
// from it.
func Queries(tables *state.Tables, now time.Time) []OutgoingQuery {
	config := tables.Config.Current()
	if config == nil {
		return nil
	}
	digest := VotersOf(config, tables.Self.Name).digest()
	names := unionOfNames(voterSets(tables))
	var out []OutgoingQuery
	tables.Lease.With(func(l *state.Lease) {
		dropExpiredQueries(l, now)
		if l.Superseded {
			return
		}
		for _, voter := range names {
			l.NextQuery++
			l.Queries[l.NextQuery] = state.LeaseQuery{Voter: voter, SentAt: now}
			out = append(out, OutgoingQuery{Voter: voter, Query: Query{
				Number:      l.NextQuery,
				Incarnation: tables.Self.Incarnation,
				Ticket:      config.Ticket.Number,
				Voters:      digest,
			}})
		}
	})
	return out
}

// dropExpiredQueries drops queries whose answers can no longer be used.
func dropExpiredQueries(l *state.Lease, now time.Time) {
	for number, q := range l.Queries {
		if now.Sub(q.SentAt) >= Duration {
			delete(l.Queries, number)
		}
	}
}

// Receive handles a voter's answer. Late and duplicate answers have no effect.
func Receive(tables *state.Tables, voter string, a Answer, now time.Time) {
	sets := voterSets(tables)
	tables.Lease.With(func(l *state.Lease) {
		if a.Highest > tables.Self.Incarnation {
			l.Superseded = true
		}
		q, known := l.Queries[a.Number]
		if !known || q.Voter != voter {
			return
		}
		delete(l.Queries, a.Number)
		if !a.Confirmed || voter == Store && !storeWaitElapsed(l, now) {
			return
		}
		if q.SentAt.After(l.Confirmed[voter]) {
			l.Confirmed[voter] = q.SentAt
		}
		extendHold(l, sets, now)
	})
}

// storeWaitElapsed reports whether the store's confirmations count yet. The
// store cannot measure the exclusive period of a confirmation, so the new
// process waits until no earlier process can still rely on its last reading of
// the VM's lease object.
func storeWaitElapsed(l *state.Lease, now time.Time) bool {
	if l.StoreSince.IsZero() {
		l.StoreSince = now
	}
	return now.Sub(l.StoreSince) >= ExclusivePeriod
}

// extendHold computes the hold from the confirmations.
func extendHold(l *state.Lease, sets []Voters, now time.Time) {
	if l.Superseded || len(sets) == 0 {
		return
	}
	held := l.Hold.Valid(now)
	var until time.Time
	for i, voters := range sets {
		sent := confirmedSendTimes(l, voters)
		if !held && !sent[voters.acquireQuorum()-1].Add(Duration).After(now) {
			return
		}
		if end := sent[voters.renewQuorum()-1].Add(Duration); i == 0 || end.Before(until) {
			until = end
		}
	}
	if !held {
		l.Hold.Since = now
	}
	if until.After(l.Hold.Until) {
		l.Hold.Until = until
	}
}

// confirmedSendTimes returns the sending times of the voters' latest confirmed
// queries, the latest first.
func confirmedSendTimes(l *state.Lease, voters Voters) []time.Time {
	var sent []time.Time
	for _, voter := range voters.names() {
		sent = append(sent, l.Confirmed[voter])
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent
}
