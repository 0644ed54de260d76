package loadstats

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Guards against load that operators cannot see, counters that count a read twice, and a
// log line for each report while reads leave the data centre.
func TestReport(t *testing.T) {
	table := leadership.NewTable()
	logs := memory.New()
	scope := tally.NewTestScope("", nil)
	r := New(table, &log.Logger{Handler: logs, Level: log.InfoLevel}, scope)
	read := func(servers ...*catalog.Server) {
		table.With("g", func(g *leadership.Group) {
			for range 100 {
				s := g.Reader(&catalog.Deployment{}, servers, "x", state.Point{}, nil, time.Second)
				g.StatementSent(s.ID)
				g.StatementDone(s.ID, leadership.Answered, 10*time.Millisecond, state.Point{}, time.Second)
			}
		})
		r.report(3 * time.Second)
	}
	near, far := &catalog.Server{ID: "near", DataCentre: "x"}, &catalog.Server{ID: "far", DataCentre: "y"}
	read(near)
	if len(logs.Entries) != 0 {
		t.Errorf("logged %q although all reads stay", logs.Entries[0].Message)
	}
	read(far)
	read(far)
	read(near)
	read(near)
	if len(logs.Entries) != 2 {
		t.Errorf("%d log lines, want one when reads leave and one when they stay", len(logs.Entries))
	}
	snapshot := scope.Snapshot()
	for name, want := range map[string]int64{"read_choices+tier=local_replica": 300, "read_choices+tier=remote_replica": 200} {
		if c := snapshot.Counters()[name]; c == nil || c.Value() != want {
			t.Errorf("counter %s is %v, want %d", name, c, want)
		}
	}
	for name, want := range map[string]float64{"server_latency_seconds+server=near": 0.01, "server_in_flight+server=far": 0, "server_knowledge_age_seconds+server=near": 2} {
		if g := snapshot.Gauges()[name]; g == nil || g.Value() != want {
			t.Errorf("gauge %s is %v, want %v", name, g, want)
		}
	}
}
