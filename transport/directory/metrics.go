package directory

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// call is a kind of call to the store.
type call string

const (
	callList     call = "list"
	callWatch    call = "watch"
	callMembers  call = "members"
	callAnnounce call = "announce"
	callRetire   call = "retire"
)

// callBuckets reach from an answer in milliseconds to a watch that waits.
var callBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

type metrics struct {
	latency  map[call]tally.Histogram // also counts the calls
	failures map[call]tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	m := metrics{latency: make(map[call]tally.Histogram), failures: make(map[call]tally.Counter)}
	for _, c := range []call{callList, callWatch, callMembers, callAnnounce, callRetire} {
		tagged := scope.Tagged(map[string]string{"call": string(c)})
		m.latency[c] = tagged.Histogram("store_call_latency", callBuckets)
		m.failures[c] = tagged.Counter("store_failures")
	}
	return m
}

func (m *metrics) record(c call, took time.Duration, failed bool) {
	m.latency[c].RecordDuration(took)
	if failed {
		m.failures[c].Inc(1)
	}
}
