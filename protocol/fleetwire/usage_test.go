package fleetwire

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/coordination/usage"
)

// Guards against fields of usage messages that are lost or swapped by encoding and
// decoding, and against malformed messages that are accepted.
func TestUsageRoundTrip(t *testing.T) {
	request := UsageRequest{Token: 1 << 50, Since: 353445120, Run: 1 << 60, Seen: 7, Offset: -3 * time.Second, HasOffset: true, Departed: true}
	if got, err := DecodeUsageRequest(request.Append(nil)); err != nil || !cmp.Equal(request, got) {
		t.Errorf("request: %v\n%s", err, cmp.Diff(request, got))
	}
	reply := UsageReply{Clock: time.Hour, TimeOfDay: 1 << 60, Token: 9, Synced: true, Released: true, Sources: []usage.SourceCounts{
		{Source: usage.Source{VM: "a", Run: 5}, Started: 8, Changes: 6, Windows: []usage.WindowCounts{{Window: 3, Counts: usage.Counts{"x": 1, "y": 0}}, {Window: 4, Counts: usage.Counts{"x": 2}}}},
		{Source: usage.Source{VM: "b", Run: -5}},
	}}
	encoded := reply.Append(nil)
	if got, err := DecodeUsageReply(encoded); err != nil || !cmp.Equal(reply, got) {
		t.Errorf("reply: %v\n%s", err, cmp.Diff(reply, got))
	}
	for n := range encoded {
		if _, err := DecodeUsageReply(encoded[:n]); err == nil {
			t.Errorf("the first %d bytes of a reply are accepted", n)
		}
	}
}
