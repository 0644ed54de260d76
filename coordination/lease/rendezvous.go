package lease

import (
	"hash/fnv"
	"slices"
	"strings"
)

// Rendezvous returns the names ordered by rendezvous hashing of the key. The
// order of two names depends on the key and on these two names only, so adding
// or removing a name moves no other.
func Rendezvous(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, name := range names {
		all[i] = scored{name, Score(key, name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	ordered := make([]string, len(all))
	for i, s := range all {
		ordered[i] = s.name
	}
	return ordered
}

// Score is the rendezvous hash of a key and a name. The same on every VM.
func Score(key, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix spreads the last bytes over the whole word, which FNV alone does not;
// names often differ in their last digit only. The constants are those of the
// finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
