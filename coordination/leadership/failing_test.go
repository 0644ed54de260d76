package leadership

import (
	"strconv"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Guards against sending reads to a replica that fails some of them but otherwise
// looks healthy, and against never trying such a replica again.
func TestReadsAvoidFailingServers(t *testing.T) {
	servers := []*catalog.Server{{ID: "near", DataCentre: "x"}, {ID: "far", DataCentre: "y"}}
	d := &catalog.Deployment{}
	g := newGroup()
	now := 10 * second
	reader := func() string { return g.Reader(d, servers, "x", point(1, 1), nil, now).ID }
	run := func(id string, o Outcome) {
		g.StatementSent(id)
		g.StatementDone(id, o, 10*time.Millisecond, point(1, 5), now)
		now += 20 * time.Millisecond
	}
	for range 10 {
		run("near", Answered)
		run("far", Answered)
	}
	if got := reader(); got != "near" {
		t.Fatalf("reads go to %s although both are healthy", got)
	}
	for i := range 20 {
		o := Answered
		if i%5 < 2 {
			o = Failed
		}
		run("near", o)
	}
	if got := reader(); got != "far" {
		t.Errorf("reads go to %s, which fails two of five statements", got)
	}
	// Reads still go to some server while all of them fail.
	for range 20 {
		run("near", Failed)
		run("far", Failed)
	}
	if got := reader(); got != "near" && got != "far" {
		t.Errorf("reads go to %q", got)
	}
	now += 10 * second
	if got := reader(); got != "near" {
		t.Errorf("reads go to %s long after the failures", got)
	}
	run("near", Declined)
	if got := reader(); got != "near" {
		t.Errorf("reads go to %s after a declined statement", got)
	}
}

// Guards against VMs with the same knowledge that all choose the same server, and against
// a return of all of them to a server that was suspected.
func TestVMsWithTheSameKnowledgeSpread(t *testing.T) {
	servers := []*catalog.Server{{ID: "a", DataCentre: "x"}, {ID: "b", DataCentre: "x"}}
	count := func(now time.Duration) map[string]int {
		chosen := make(map[string]int)
		for vm := range 300 {
			table := NewSeededTable(strconv.Itoa(vm))
			table.With("g", func(g *Group) {
				for _, s := range servers {
					g.StatementSent(s.ID)
					g.StatementDone(s.ID, Answered, 10*time.Millisecond, point(1, 1), 10*second)
				}
				g.StatementSent("a")
				g.StatementDone("a", Answered, 11*time.Millisecond, point(1, 1), 10*second)
				g.Suspect("a", 10*second)
				chosen[g.Reader(&catalog.Deployment{}, servers, "x", point(1, 1), nil, now).ID]++
			})
		}
		return chosen
	}
	if got := count(14 * second); got["a"] < 100 || got["b"] < 100 {
		t.Errorf("300 VMs chose %v", got)
	}
	if got := count(10*second + suspectTTL + 100*time.Millisecond); got["a"] < 10 || got["a"] > 60 {
		t.Errorf("300 VMs chose %v right after a was suspected", got)
	}
}
