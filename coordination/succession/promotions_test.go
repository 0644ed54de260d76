package succession

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/state"
)

func promotionOf(server string, term, position uint64) Promotion {
	return Promotion{Server: server, Start: state.Point{Term: term, Position: position}}
}

// Guards against the promotion of a former primary whose log has commits that an earlier
// promotion than the latest one dropped, and against a log that waits although it has
// nothing else than the others.
func TestDivergedLogs(t *testing.T) {
	// b took over from a at 40 and c from b at 60, where term 5 began.
	known := Promotions{}.With(promotionOf("b", 4, 40)).With(promotionOf("c", 5, 60))
	for name, tt := range map[string]struct {
		server         string
		term, position uint64
		want           bool
	}{
		"former primary, below the latest start":  {"a", 3, 58, true},
		"former primary, beyond the latest start": {"a", 3, 61, true},
		"replica that received nothing since":     {"d", 3, 40, false},
		"replica of the second term":              {"d", 4, 60, false},
		"second primary, commits dropped":         {"b", 4, 61, true},
		"second primary, no commit dropped":       {"b", 4, 60, false},
		"third primary, nothing committed yet":    {"c", 4, 65, false},
		"replica of the third term":               {"d", 5, 70, false},
		"second primary, back in its former term": {"b", 3, 70, true},
	} {
		if got := known.Diverged(tt.server, state.Point{Term: tt.term, Position: tt.position}); got != tt.want {
			t.Errorf("%s: diverged %v", name, got)
		}
	}
	if (Promotions)(nil).Diverged("a", state.Point{Term: 3, Position: 58}) {
		t.Error("a log has diverged although no promotion is known")
	}
}

// Guards against a list of promotions that grows without end, loses one that still drops
// commits, or keeps one that had no effect, for which all logs would wait.
func TestPromotions(t *testing.T) {
	a4, b5, c6 := promotionOf("a", 4, 40), promotionOf("b", 5, 60), promotionOf("c", 6, 80)
	known := Promotions{a4, b5, c6}
	many := Promotions{}
	for i := range uint64(20) {
		many = many.With(promotionOf("a", i+1, i+1))
	}
	if len(many) != maxPromotions || many[maxPromotions-1] != promotionOf("a", 20, 20) {
		t.Errorf("after 20 promotions: %v", many)
	}
	for name, tt := range map[string]struct{ got, want Promotions }{
		"order repeated for another server":        {known.With(promotionOf("d", 6, 80)), Promotions{a4, b5, promotionOf("d", 6, 80)}},
		"later one that began earlier":             {known.With(promotionOf("d", 7, 50)), Promotions{a4, promotionOf("d", 7, 50)}},
		"parts of a list":                          {Promotions{a4, c6}.Merge(Promotions{b5}), known},
		"the same promotion with two bounds":       {Promotions{promotionOf("b", 5, 63)}.Merge(Promotions{a4, b5}), Promotions{a4, b5}},
		"no list":                                  {(Promotions)(nil).Merge(nil), nil},
		"former primary kept the lead":             {known.Effective("b", 5), Promotions{a4, b5}},
		"successor has not committed yet":          {known.Effective("c", 5), known},
		"unrecorded primary of a later term":       {known.Effective("x", 9), known},
		"successor received more before the order": {known.Refine("c", state.Point{Term: 5, Position: 85}), Promotions{a4, b5, promotionOf("c", 6, 85)}},
		"successor has committed":                  {known.Refine("c", state.Point{Term: 6, Position: 85}), known},
		"another server":                           {known.Refine("b", state.Point{Term: 5, Position: 85}), known},
	} {
		if diff := cmp.Diff(tt.want, tt.got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	if diff := cmp.Diff(Promotions{a4, b5, c6}, known); diff != "" {
		t.Errorf("the list was changed (-want +got):\n%s", diff)
	}
}
