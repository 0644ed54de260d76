package state

import "cmp"

// Revision is a revision of the platform's store. When the store comes back from an older
// copy, its counter goes back and its era rises, so numbers are ordered within an era only.
type Revision struct {
	Era    uint64 `json:"era,omitempty"` // zero if the store does not report eras
	Number uint64 `json:"number"`
}

// Compare returns a negative number if r is older than other, zero if they are equal and
// a positive number if r is newer. A revision of a later era is newer whatever its number.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is newer than other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r is the zero revision, which no object has.
func (r Revision) IsZero() bool { return r == Revision{} }
