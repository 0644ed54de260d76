package lease

import (
	"hash/fnv"
	"slices"
	"strings"
)

// Rendezvous returns the names ordered by rendezvous hashing of the key. The
// relative order of two names depends only on the key and these two names, so
// adding or removing a name does not move the others.
func Rendezvous(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, name := range names {
		all[i] = scored{name, RendezvousHash(key, name)}
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

// RendezvousHash returns the rendezvous hash of a key and a name, which is the
// same on every VM.
func RendezvousHash(key, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(name))
	return fmix64(h.Sum64())
}

// fmix64 is the 64-bit finalizer of MurmurHash3. FNV alone does not spread the
// last bytes over the whole word, and names often differ only in their last
// digit.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
