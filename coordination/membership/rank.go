// Package membership implements the decisions of the gossip protocol between VMs:
// which VMs exchange messages, which entries and digests of other VMs the messages
// contain, which VMs are alive, which of them are relays, and whether the
// configuration is known to be the newest. Its functions work on the data of the
// member table, whose lock the caller holds.
package membership

import "slices"

// FNV-1a parameters for 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Rank returns the candidates in the order of rendezvous hashing for the key.
// Removing a candidate does not change the order of the others.
func Rank(key string, candidates []string) []string {
	ranked := slices.Clone(candidates)
	scores := make(map[string]uint64, len(candidates))
	for _, c := range candidates {
		scores[c] = score(key, c)
	}
	slices.SortFunc(ranked, func(a, b string) int {
		switch {
		case scores[a] > scores[b]:
			return -1
		case scores[a] < scores[b]:
			return 1
		case a < b:
			return -1
		case a > b:
			return 1
		default:
			return 0
		}
	})
	return ranked
}

// score returns the rendezvous weight of a candidate. It applies a finalizer to the
// FNV hash of both strings, because FNV alone maps names that differ only in the
// last character to a small range.
func score(key, candidate string) uint64 {
	h := hashString(fnvOffset, key)
	h = hashString(h, candidate)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// hashString continues an FNV-1a hash with a string and a terminator.
func hashString(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h * fnvPrime
}

// hashNumber continues an FNV-1a hash with a number.
func hashNumber(h, n uint64) uint64 {
	for range 8 {
		h = (h ^ n&0xff) * fnvPrime
		n >>= 8
	}
	return h
}
