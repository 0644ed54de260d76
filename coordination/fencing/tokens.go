package fencing

// maxTokenBits is the length of the longest fencing token. Platforms store tokens as JSON
// numbers, which represent whole numbers of up to 53 bits exactly.
const maxTokenBits = 53

// eraTokenBits is the part of a token within an era. An era ends after 2^32 tokens at the
// earliest, 136 years at one a second, and 2^21 eras are possible.
const eraTokenBits = 32

// maxEra is the last era whose tokens are distinguished.
const maxEra = 1<<(maxTokenBits-eraTokenBits) - 1

// FirstToken returns the lowest fencing token that may be issued in an era of the store.
// A store that comes back from an older copy may have lost the record of the tokens that
// were reserved in the previous era, so each era begins above all tokens of earlier ones.
func FirstToken(era uint64) uint64 { return max(min(era, maxEra)<<eraTokenBits, 1) }
