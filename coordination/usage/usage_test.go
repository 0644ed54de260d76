package usage

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

var testSettings = Settings{Window: 5 * time.Second, Delay: 10 * time.Second, Lease: 3 * time.Second}

// start is the true time at which the tests begin: the start of window 1000.
const start = Time(5000 * time.Second)

// Guards against commands of the proxy, further statements of a transaction and its end
// that count as operations.
func TestOperation(t *testing.T) {
	command := func(id string, v statement.Verb) statement.Command { return statement.Command{ID: id, Verb: v} }
	for name, c := range map[string]struct {
		w    statement.RemoteStatement
		want bool
	}{
		"single read":              {statement.RemoteStatement{Command: command("1", statement.Read)}, true},
		"single write":             {statement.RemoteStatement{Command: command("1", statement.Write)}, true},
		"prepared statement":       {statement.RemoteStatement{Command: command("1", statement.Execute)}, true},
		"first of a transaction":   {statement.RemoteStatement{Command: command("1", statement.Write), BeginsTx: true}, true},
		"further statement":        {statement.RemoteStatement{Command: command("1", statement.Write), Tx: 7}, false},
		"commit":                   {statement.RemoteStatement{Command: command("1", statement.Commit), Tx: 7}, false},
		"commit of nothing":        {statement.RemoteStatement{Command: command("1", statement.Commit), BeginsTx: true}, false},
		"query of the coordinator": {statement.RemoteStatement{Command: command("", statement.Rollback), BeginsTx: true}, false},
		"report of a server":       {statement.RemoteStatement{Command: command("", statement.Status)}, false},
	} {
		if got := Operation(&c.w); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against windows that move because the time of day of fewer than half of the VMs is
// wrong, or because a holder reaches few VMs.
func TestEstimateOffset(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		samples     []time.Duration
		fleet       int
		previous    time.Duration
		hasPrevious bool
		want        time.Duration
		ok          bool
	}{
		"two of five are wrong":       {[]time.Duration{10 * s, 14 * s, 10 * s, 14 * s, 10 * s}, 5, 0, false, 10 * s, true},
		"half are wrong":              {[]time.Duration{10 * s, 14 * s, 10 * s, 14 * s}, 4, 10 * s, true, 10 * s, true},
		"a minority answers":          {[]time.Duration{14 * s, 14 * s}, 5, 10 * s, true, 10 * s, true},
		"a minority answers at first": {[]time.Duration{14 * s, 14 * s}, 5, 0, false, 0, false},
		"alone":                       {[]time.Duration{10 * s}, 1, 0, false, 10 * s, true},
	} {
		if got, ok := EstimateOffset(c.samples, c.fleet, c.previous, c.hasPrevious); got != c.want || ok != c.ok {
			t.Errorf("%s: %v %v, want %v %v", name, got, ok, c.want, c.ok)
		}
	}
}

// Guards against operations that are lost or in the wrong window because they began before
// the VM knew the true time, and against a cut-off VM that sets the time.
func TestCounterBeforeAndAfterSync(t *testing.T) {
	c := NewCounter(testSettings)
	c.Add("a", 4900*time.Millisecond, 1) // of the clock, which is 5000 s behind true time
	c.Add("a", 5100*time.Millisecond, 2)
	if _, _, known := c.Since(0, 0); known {
		t.Error("the true time is known without an offset")
	}
	c.SetOffset(7, 5000*time.Second)
	c.SetOffset(6, 0)
	c.Add("a", 5200*time.Millisecond, 1)
	c.Add("b", 5200*time.Millisecond, 1)
	c.Add("b", 5200*time.Millisecond, -1)
	list, changes, known := c.Since(0, 0)
	if !known || len(list) != 2 || list[0].Window != 1000 || list[0].Counts["a"] != 1 || list[1].Counts["a"] != 3 || list[1].Counts["b"] != 0 {
		t.Fatalf("%v %v", known, list)
	}
	c.Add("a", 9*time.Second, 1)
	if list, _, _ := c.Since(0, changes); len(list) != 1 || len(list[0].Counts) != 1 || list[0].Counts["a"] != 4 {
		t.Errorf("changes since the last answer: %v", list)
	}
	c.Expire(time.Hour)
	if list, _, _ := c.Since(0, 0); len(list) != 0 {
		t.Errorf("counts after an hour: %v", list)
	}
}

// Guards against counts that are added twice, or go back, when answers repeat counts or
// overtake each other, and against counts that are lost when a VM starts again.
func TestCollection(t *testing.T) {
	c := NewCollection(testSettings)
	counts := func(run int64, changes uint64, n int64) SourceCounts {
		return SourceCounts{Source: Source{"vm", run}, Started: start, Changes: changes, Windows: []WindowCounts{{1000, Counts{"a": n}}}}
	}
	c.Record(counts(1, 5, 5), start.Add(time.Second))
	c.Record(counts(1, 9, 9), start.Add(2*time.Second))
	c.Record(counts(1, 5, 5), start.Add(2*time.Second)) // overtaken
	c.Record(counts(2, 3, 3), start.Add(6*time.Second))
	if got := c.Total(1000); !maps.Equal(got, Counts{"a": 12}) {
		t.Errorf("total %v, want 12", got)
	}
	if !c.AnsweredSince("vm", testSettings.End(1000)) || c.AnsweredSince("vm", start.Add(7*time.Second)) {
		t.Error("the time of the latest answer is wrong")
	}
	// The next in line gets the counts of the process that is gone.
	next := NewCollection(testSettings)
	for _, s := range c.Departed(1000, start.Add(4*time.Second)) {
		next.Record(s, 0)
	}
	if got := next.Total(1000); !maps.Equal(got, Counts{"a": 9}) {
		t.Errorf("passed on: %v, want 9", got)
	}
}

// stored returns the record as the store answers it.
func stored(r Record, era, number uint64) Record {
	r.Stored = state.Revision{Era: era, Number: number}
	return r
}

// claimed returns a duty that was claimed over the present record.
func claimed(t *testing.T, name string, present Record, now Time) *Duty {
	t.Helper()
	d := &Duty{Name: name, Settings: testSettings}
	claim := d.PrepareClaim(present, 0, now, now.Add(-7*time.Second))
	if !d.Claimed(present, claim, state.Revision{Era: claim.Era, Number: present.Stored.Number + 1}, time.Minute, time.Minute) {
		t.Fatal("not claimed")
	}
	return d
}

// Guards against a new holder that sends another report for a window that may have been
// reported: the recorded one must be repeated, and without a record of the present era
// ended windows are skipped.
func TestNewHolder(t *testing.T) {
	record := Record{Holder: "a", Token: 1, NextFree: 1001, Length: testSettings.Window, Window: 990, Counts: Counts{"x": 3}}
	other := record
	other.Length = time.Second
	for name, c := range map[string]struct {
		present Record
		repeats bool
		next    int64
	}{
		"recorded report":                     {stored(record, 0, 4), true, 991},
		"no record and no former holder":      {Record{}, false, 998},
		"record of an earlier era":            {stored(record, 1, 4), false, 1000},
		"no record in a later era, no holder": {stored(Record{}, 1, 0), false, 998},
		"other length of windows":             {stored(other, 0, 4), false, 1000},
		"claimed without a report":            {stored(Record{Holder: "a", Token: 1, NextFree: 1001, Length: testSettings.Window, Window: 995}, 0, 4), false, 996},
	} {
		d := claimed(t, "b", c.present, start)
		if d.repeat != c.repeats || d.NextWindow() != c.next || d.Token() < c.present.NextFree {
			t.Errorf("%s: repeats %v, next window %d, token %d", name, d.repeat, d.NextWindow(), d.Token())
		}
		if window, counts, _ := d.Report(0); c.repeats && (window != 990 || !maps.Equal(counts, record.Counts)) {
			t.Errorf("%s: the report is %d %v", name, window, counts)
		}
	}
}

// Guards against a holder whose memory is trusted in a new era although another VM held the
// duty in the meantime, and against tokens that are issued again.
func TestHolderInNewEra(t *testing.T) {
	d := claimed(t, "a", Record{}, start)
	r := d.PrepareReport(Counts{"x": 1})
	d.Recorded(r, state.Revision{Number: 3}, time.Minute)
	older := stored(Record{}, 1, 0)
	if got := d.PrepareClaim(older, d.Token(), start.Add(20*time.Second), start); got.Window != 998 || !got.HasReport() || got.Token < fencing.FirstToken(1) {
		t.Errorf("the only holder does not write its record again: %+v", got)
	}
	fresh := &Duty{Name: "b", Settings: testSettings}
	if got := fresh.PrepareClaim(older, d.Token(), start.Add(20*time.Second), start); got.Window != 1003 || got.HasReport() {
		t.Errorf("another VM without the record: %+v", got)
	}
	if got := d.PrepareClaim(older, d.Token()+1000, start.Add(20*time.Second), start); got.Window != 1003 || got.HasReport() {
		t.Errorf("after another holder: %+v", got)
	}
	if d.Recorded(d.PrepareReport(Counts{}), state.Revision{Era: 1, Number: 9}, time.Minute) || d.Held() {
		t.Error("a report that was recorded over a new era may be sent")
	}
}

// Guards against reports that are sent before a former holder has stopped, by a VM that
// held the duty within the lease, or without a recent look at the record.
func TestStepsOfTheDuty(t *testing.T) {
	answered := func(Time) bool { return true }
	silent := func(Time) bool { return false }
	d := claimed(t, "b", stored(Record{Holder: "a", Token: 1, NextFree: 1001, Length: testSettings.Window, Window: 999, Counts: Counts{}}, 0, 4), start)
	step := func(clock time.Duration, now Time, collecting time.Duration, answered func(Time) bool) Step {
		return d.Next(time.Minute+clock, now, collecting, answered)
	}
	if got := step(time.Second, start, time.Hour, answered); got != Wait {
		t.Errorf("a second after a claim: %v", got)
	}
	if got := step(takeOverDelay, start, time.Hour, answered); got != Verify {
		t.Errorf("a repeated report is sent without a look at the record: %v", got)
	}
	if !d.Verified(d.record, time.Minute+takeOverDelay, time.Minute+takeOverDelay) || step(takeOverDelay, start, time.Hour, answered) != Send {
		t.Error("the recorded report is not repeated")
	}
	d.Answered()
	end := testSettings.End(1000)
	for name, c := range map[string]struct {
		now        Time
		collecting time.Duration
		answered   func(Time) bool
		want       Step
	}{
		"window has not ended":            {end - 1, time.Hour, answered, Wait},
		"ended just now":                  {end.Add(minWait - 1), time.Hour, answered, Wait},
		"all answered":                    {end.Add(minWait), 0, answered, Write},
		"a VM is silent":                  {end.Add(5 * time.Second), time.Hour, silent, Wait},
		"a VM is silent for long":         {end.Add(6 * time.Second), time.Hour, silent, Write},
		"no answers after a suspension":   {end.Add(6 * time.Second), 0, silent, Wait},
		"answers again, after some waits": {end.Add(8 * time.Second), minCollecting, silent, Write},
	} {
		if got := step(time.Hour, c.now, c.collecting, c.answered); got != c.want {
			t.Errorf("%s: step %d, want %d", name, got, c.want)
		}
	}
	// Another VM takes the duty and this one claims it again.
	_, _, _ = d.Report(2 * time.Minute)
	taken := stored(Record{Holder: "c", Token: d.Token() + 1000, NextFree: d.Token() + 2000, Length: testSettings.Window, Window: 1000, Counts: Counts{}}, 0, 9)
	if d.Verified(taken, 2*time.Minute, 2*time.Minute) || d.MayClaim(taken, false, 2*time.Minute+time.Second) || !d.MayClaim(taken, true, 2*time.Minute+time.Second) {
		t.Error("the VM goes on, or claims the duty at once from a VM that it does not reach")
	}
	claim := d.PrepareClaim(taken, 0, end, start)
	d.Claimed(taken, claim, state.Revision{Number: 10}, 2*time.Minute, 2*time.Minute)
	if got := d.Next(2*time.Minute+testSettings.Lease, end, 0, answered); got != Wait {
		t.Errorf("acts again within the lease: step %d", got)
	}
}

// Guards against windows that are late because the duty moves several times in a row and
// each holder waits for calls of a former one that have ended, and against a release while
// such calls may be under way.
func TestReleasedDuty(t *testing.T) {
	present := stored(Record{Holder: "a", Token: 1, NextFree: 1001, Length: testSettings.Window, Window: 999, Counts: Counts{}}, 0, 4)
	former := claimed(t, "b", present, start)
	now := time.Minute
	if former.Released(now) {
		t.Error("released while the duty is held")
	}
	former.Drop()
	if former.Released(now + takeOverDelay - 1) {
		t.Error("released although a call of the holder before may be under way")
	}
	if !former.Released(now + takeOverDelay) {
		t.Error("not released after the calls of the holder before")
	}
	if (&Duty{Name: "b", Settings: testSettings}).Released(time.Hour) {
		t.Error("released by a process that never held the duty")
	}
	for name, c := range map[string]struct {
		answered bool
		after    time.Duration
		want     bool
	}{
		"answered":             {true, 0, true},
		"no answer":            {false, CallTimeout, false},
		"no answer, timed out": {false, CallTimeout + callMargin, true},
	} {
		d := claimed(t, "b", present, start)
		_, _, _ = d.Report(2 * time.Minute)
		if c.answered {
			d.Answered()
		}
		d.Drop()
		if got := d.Released(2*time.Minute + c.after); got != c.want {
			t.Errorf("call %s: released %v", name, got)
		}
	}

	present = stored(former.record, 0, 5)
	next := claimed(t, "c", present, start)
	end := testSettings.End(1000).Add(minWait)
	step := func() Step { return next.Next(now+1, end, time.Hour, func(Time) bool { return true }) }
	next.EndTakeOver(func(string, uint64) bool { return false }, now+1)
	if got := step(); got != Wait {
		t.Errorf("not released: step %d", got)
	}
	next.EndTakeOver(func(vm string, token uint64) bool { return vm == "b" && token == present.Token }, now+1)
	if got := step(); got != Send {
		t.Errorf("released: step %d", got)
	}
	// A VM that held the duty within the lease waits for its end also then.
	again := claimed(t, "b", present, start)
	again.Started = now
	again.Claimed(present, again.PrepareClaim(present, 0, start, start), state.Revision{Number: 6}, now, now)
	again.EndTakeOver(func(string, uint64) bool { return true }, now+1)
	if got := again.Next(now+1, end, time.Hour, func(Time) bool { return true }); got != Wait {
		t.Errorf("within the lease: step %d", got)
	}
}

// Guards against windows that are reported although their counts are lost.
func TestSkip(t *testing.T) {
	present := stored(Record{Holder: "a", Token: 1, NextFree: 1001, Length: testSettings.Window, Window: 990}, 0, 4)
	d := claimed(t, "b", present, start)
	if n := d.Skip(start, start.Add(-12*time.Second)); n != 7 || d.NextWindow() != 998 {
		t.Errorf("%d windows skipped, next %d, after all VMs started 12 s ago", n, d.NextWindow())
	}
	d = claimed(t, "b", Record{}, start.Add(time.Second))
	if n := d.Skip(start.Add(time.Second), start.Add(time.Second)); n != 0 {
		t.Errorf("%d windows skipped at the first start", n)
	}
	if n := d.Skip(start.Add(time.Hour), start); n == 0 || d.NextWindow() < testSettings.WindowAt(start.Add(time.Hour-Retention)) {
		t.Errorf("%d windows skipped after an outage of an hour", n)
	}
}

// Guards against windows that are lost because all VMs are killed while the report waits for
// a VM that is silent, and against counts of a part of the VMs that replace higher ones.
func TestPendingWindows(t *testing.T) {
	now := testSettings.End(1001).Add(minWait)
	everybody := func(Time) bool { return true }
	d := claimed(t, "a", stored(Record{Holder: "a", Token: 1, NextFree: 1001, Length: testSettings.Window, Window: 999}, 0, 4), start)
	if got := d.UnsavedWindows(now-1, 0, everybody); !slices.Equal(got, []int64{1000}) {
		t.Errorf("unsaved before the second window has ended: %v", got)
	}
	if got := d.UnsavedWindows(now, 0, func(Time) bool { return false }); got != nil {
		t.Errorf("unsaved although a VM that is alive has not answered: %v", got)
	}
	if got := d.UnsavedWindows(now, start+1, everybody); !slices.Equal(got, []int64{1001}) {
		t.Errorf("unsaved after all VMs started in the first window: %v", got)
	}
	if got := d.UnsavedWindows(now, 0, everybody); !slices.Equal(got, []int64{1000, 1001}) {
		t.Errorf("unsaved: %v", got)
	}
	saved := d.PrepareSave([]WindowCounts{{1000, Counts{"x": 7}}, {1001, Counts{"x": 5, "y": 1}}})
	d.Saved(saved, state.Revision{Number: 6}, time.Minute)
	if got := d.UnsavedWindows(now, 0, everybody); got != nil {
		t.Errorf("unsaved after they were saved: %v", got)
	}

	// All VMs start again 10 s after the end of window 1001.
	later := now.Add(10 * time.Second)
	next := claimed(t, "b", stored(saved, 0, 6), later)
	if n := next.Skip(later, later); n != 0 {
		t.Errorf("%d pending windows skipped", n)
	}
	for i, want := range []Counts{{"x": 9}, {"x": 5, "y": 1}} {
		window := int64(1000 + i)
		collected := Counts{}
		if window == 1000 {
			collected["x"] = 9 // a VM that was silent is not lost
		}
		r := next.PrepareReport(collected)
		if r.Window != window || !maps.Equal(r.Counts, want) {
			t.Errorf("report of window %d: %d %v, want %v", window, r.Window, r.Counts, want)
		}
		next.Recorded(r, state.Revision{Number: 7}, time.Minute)
		next.Answered()
	}
	if n := next.Skip(later, later); n != 2 || len(next.record.Pending) > 0 {
		t.Errorf("%d windows without counts skipped, pending %v", n, next.record.Pending)
	}
}
