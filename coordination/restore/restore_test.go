package restore

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Guards against a server that had been removed or was draining and gets work again
// because the store came back with an earlier registration, and against one that has
// registered again and gets none.
func TestRegistrationsOfCopy(t *testing.T) {
	const restoredAt = 10 * time.Second
	newEra := Start{Revision: state.Revision{Era: 1, Number: 50}, At: restoredAt}
	ready := func(seq, revision uint64) catalog.Server {
		return catalog.Server{ID: "s", Born: 100, Seq: seq, Revision: revision}
	}
	draining := func(seq, revision uint64) catalog.Server {
		s := ready(seq, revision)
		s.Draining = true
		return s
	}
	restarted := ready(1, 49)
	restarted.Born = 200
	for name, c := range map[string]struct {
		before  catalog.Server
		removed bool
		copied  catalog.Server
		after   time.Duration // since the restore
		want    *catalog.Server
	}{
		"unchanged":                       {before: ready(4, 40), copied: ready(4, 40), want: ptr(ready(4, 40))},
		"removed":                         {before: ready(4, 40), removed: true, copied: ready(4, 40)},
		"removed, for long":               {before: ready(4, 40), removed: true, copied: ready(4, 40), after: time.Hour},
		"removed, written again":          {before: ready(4, 40), removed: true, copied: ready(5, 49), want: ptr(ready(5, 49))},
		"removed, written later":          {before: ready(4, 40), removed: true, copied: ready(2, 51), want: ptr(ready(2, 51))},
		"removed, restarted":              {before: ready(4, 40), removed: true, copied: restarted, want: &restarted},
		"draining":                        {before: draining(5, 60), copied: ready(4, 40), want: ptr(draining(5, 60))},
		"draining, written again":         {before: draining(5, 60), copied: ready(6, 49), want: ptr(ready(6, 49))},
		"later registration lost":         {before: ready(5, 60), copied: ready(4, 40), want: ptr(ready(5, 60))},
		"draining, no number":             {before: draining(0, 60), copied: ready(0, 40), want: ptr(draining(0, 60))},
		"draining, no number, for long":   {before: draining(0, 60), copied: ready(0, 40), after: HoldFor, want: ptr(ready(0, 40))},
		"removed, no number":              {before: ready(0, 40), removed: true, copied: ready(0, 40)},
		"removed, no number, later write": {before: ready(0, 40), removed: true, copied: ready(0, 51), want: ptr(ready(0, 51))},
	} {
		t.Run(name, func(t *testing.T) {
			var servers Servers
			servers.InForce(&c.before, Start{}, 0)
			if c.removed {
				servers.Remove("s")
			}
			servers.InForce(&c.copied, newEra, restoredAt)
			for range 2 { // the second time after servers that are not registered were forgotten
				if got := servers.InForce(&c.copied, newEra, restoredAt+c.after); !cmp.Equal(got, c.want) {
					t.Errorf("in force: %+v, want %+v", got, c.want)
				}
				servers.Expire(restoredAt + c.after)
			}
		})
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against a registration that is missing from the first copy and is not used once
// the second one has it.
func TestRegistrationMissingFromFirstOfTwoCopies(t *testing.T) {
	s := &catalog.Server{ID: "s", Born: 100, Seq: 4, Revision: 40}
	var servers Servers
	servers.InForce(s, Start{}, 0)
	if servers.InForce(s, Start{Revision: state.Revision{Era: 2, Number: 45}, At: time.Second}, time.Second) != s {
		t.Error("the registration is not in force")
	}
}

// Guards against a data centre that comes back into service because the copy lacks its
// entry, and against an entry that had been removed and takes it out of service for ever
// or at once.
func TestMarksOfCopy(t *testing.T) {
	entry := map[string]uint64{"dc": 40}
	for name, c := range map[string]struct {
		contents []map[string]uint64 // one after the other; the last one is that of the copy
		later    map[string]uint64   // a change after that, unless it is nil
		want     map[time.Duration]bool
	}{
		"missing":                  {contents: []map[string]uint64{entry, {}}, want: map[time.Duration]bool{time.Second: true, HoldFor - 1: true, HoldFor: false}},
		"missing, written again":   {contents: []map[string]uint64{entry, {}}, later: map[string]uint64{"dc": 51}, want: map[time.Duration]bool{time.Second: true, HoldFor: true}},
		"reappeared":               {contents: []map[string]uint64{entry, {}, entry}, want: map[time.Duration]bool{time.Second: false, HoldFor: true}},
		"reappeared, written":      {contents: []map[string]uint64{entry, {}, entry}, later: map[string]uint64{"dc": 51}, want: map[time.Duration]bool{time.Second: true}},
		"reappeared, removed":      {contents: []map[string]uint64{entry, {}, entry}, later: map[string]uint64{}, want: map[time.Duration]bool{time.Second: false, HoldFor: false}},
		"written before the list":  {contents: []map[string]uint64{entry, {}, {"dc": 45}}, want: map[time.Duration]bool{time.Second: true}},
		"not known before":         {contents: []map[string]uint64{{}, entry}, want: map[time.Duration]bool{0: true}},
		"present, then removed":    {contents: []map[string]uint64{entry, entry}, later: map[string]uint64{}, want: map[time.Duration]bool{0: false}},
		"missing, other one there": {contents: []map[string]uint64{entry, {"other": 41}}, want: map[time.Duration]bool{time.Second: true, HoldFor: false}},
	} {
		t.Run(name, func(t *testing.T) {
			for after, want := range c.want {
				m := NewMarks()
				content := map[string]uint64{}
				for i, next := range c.contents {
					m.Change(content, next, i == len(c.contents)-1, 0)
					content = next
				}
				if c.later != nil {
					m.Change(content, c.later, false, time.Millisecond)
					content = c.later
				}
				if got := m.InForce(content, after)["dc"]; got != want {
					t.Errorf("%v after the restore: out of service %v, want %v", after, got, want)
				}
			}
		})
	}
}

// Guards against an entry that each of many restores keeps in force for longer.
func TestMissingMarkEndsAfterTwoRestores(t *testing.T) {
	m := NewMarks()
	m.Change(map[string]uint64{"dc": 40}, nil, true, 0)
	m.Change(nil, nil, true, HoldFor/2)
	if !m.InForce(nil, HoldFor-1)["dc"] || m.InForce(nil, HoldFor)["dc"] {
		t.Error("the second restore moved the end")
	}
}
