package translog

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against keeping a log tail that the primary lacks, and against dropping
// records that both logs have. The logs branch off each other at random
// positions, as the log of a deposed primary does.
func TestCommonPositionIsTheLongestSharedPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		logs := []*Log{New()}
		for term := uint64(1); term <= rapid.Uint64Range(1, 6).Draw(t, "terms"); term++ {
			from := rapid.SampledFrom(logs).Draw(t, "branch")
			branch := New()
			for _, r := range from.Records(0)[:rapid.IntRange(0, len(from.records)).Draw(t, "kept")] {
				branch.Append(r)
			}
			branch.Append(Record{Term: term, Position: branch.Position() + 1, TermStart: true})
			for range rapid.IntRange(0, 3).Draw(t, "records") {
				branch.Append(Record{Term: term, Position: branch.Position() + 1})
			}
			logs = append(logs, branch)
		}
		a, b := rapid.SampledFrom(logs).Draw(t, "a"), rapid.SampledFrom(logs).Draw(t, "b")
		var want uint64
		for int(want) < min(len(a.records), len(b.records)) && a.records[want].Term == b.records[want].Term {
			want++
		}
		if got := CommonPosition(a.Extent(), b.Extent()); got != want {
			t.Fatalf("common position %d, want %d", got, want)
		}
	})
}
