package directory

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// storeCall is a type of call to the store.
type storeCall string

const (
	callList     storeCall = "list"
	callWatch    storeCall = "watch"
	callMembers  storeCall = "members"
	callAnnounce storeCall = "announce"
	callRetire   storeCall = "retire"
)

// callBuckets range from a response within milliseconds to a watch that is held
// open.
var callBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

type metrics struct {
	latency  map[storeCall]tally.Histogram // its count is the number of calls
	failures map[storeCall]tally.Counter
	erasSeen tally.Counter
	storeEra tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	m := metrics{latency: make(map[storeCall]tally.Histogram), failures: make(map[storeCall]tally.Counter),
		erasSeen: scope.Counter("store_eras_seen"), storeEra: scope.Gauge("store_era")}
	for _, c := range []storeCall{callList, callWatch, callMembers, callAnnounce, callRetire} {
		tagged := scope.Tagged(map[string]string{"call": string(c)})
		m.latency[c] = tagged.Histogram("store_call_latency", callBuckets)
		m.failures[c] = tagged.Counter("store_failures")
	}
	return m
}

func (m *metrics) recordLatency(c storeCall, took time.Duration, failed bool) {
	m.latency[c].RecordDuration(took)
	if failed {
		m.failures[c].Inc(1)
	}
}
