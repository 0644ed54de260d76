package succession

import (
	"cmp"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// maxPromotions is the number of promotions of a group that are known. A log that has
// missed more of them is not recognised as diverged. With only the latest one, former
// primaries were promoted again in two of three trials (docs/design/term-starts.md).
const maxPromotions = 8

// Promotion is the beginning of a server's term as the primary of a group.
type Promotion struct {
	Server string // ID
	// Start has a lower bound of the term and a lower bound of the position, the number of
	// commits, at which it began. Commits of earlier terms beyond it were dropped.
	Start state.Point
}

// Promotions holds the latest promotions of a group, in ascending order of term and
// position. Its methods do not change it.
type Promotions []Promotion

// With returns the promotions followed by a later one. Earlier ones that begin at the same
// term or position, or after it, are left out: what they dropped, the later one did too.
func (ps Promotions) With(p Promotion) Promotions {
	kept := make(Promotions, 0, len(ps)+1)
	for _, earlier := range ps {
		if earlier.Start.Term < p.Start.Term && earlier.Start.Position < p.Start.Position {
			kept = append(kept, earlier)
		}
	}
	kept = append(kept, p)
	return kept[max(0, len(kept)-maxPromotions):]
}

// Merge returns the promotions of both lists. Of two with the same term, the one that
// begins at the lower position is kept.
func (ps Promotions) Merge(others Promotions) Promotions {
	all := slices.Concat(ps, others)
	slices.SortFunc(all, func(a, b Promotion) int {
		return cmp.Or(cmp.Compare(a.Start.Term, b.Start.Term), cmp.Compare(b.Start.Position, a.Start.Position))
	})
	var merged Promotions
	for _, p := range all {
		merged = merged.With(p)
	}
	return merged
}

// Effective returns the promotions without those that had no effect, given that the server
// leads the term: no other server has been promoted to a later one.
func (ps Promotions) Effective(server string, term uint64) Promotions {
	return slices.DeleteFunc(slices.Clone(ps), func(p Promotion) bool {
		return p.Server != server && p.Start.Term > term
	})
}

// Refine returns the promotions with a higher bound of the position at which the latest one
// began, given that its server's log ended at p after that. It has no effect if the server
// had committed by then, or is another one.
func (ps Promotions) Refine(server string, p state.Point) Promotions {
	refined := slices.Clone(ps)
	if n := len(refined); n > 0 && refined[n-1].Server == server && p.Term < refined[n-1].Start.Term {
		refined[n-1].Start.Position = max(refined[n-1].Start.Position, p.Position)
	}
	return refined
}

// Diverged reports whether a server's log that ends at p has commits which a promotion has
// dropped. The term of a point is that of the last commit.
func (ps Promotions) Diverged(server string, p state.Point) bool {
	return slices.ContainsFunc(ps, func(known Promotion) bool {
		return server != known.Server && p.Term < known.Start.Term && p.Position > known.Start.Position
	})
}
