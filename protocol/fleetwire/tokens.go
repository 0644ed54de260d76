package fleetwire

import (
	"encoding/binary"

	"github.com/chestnutdyke/chestnutdyke/coordination/quota"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// AppendTokenRequest appends an encoded request for tokens from one partition of a
// customer's limit to dst. The ranks of the tokens are sent only to VMs whose Status has
// LimitRanks; for others all tokens are of one rank.
func AppendTokenRequest(dst []byte, p catalog.LimitPartition, wanted quota.Wanted, ranks bool) []byte {
	dst = appendPartition(dst, p)
	if !ranks {
		return binary.AppendUvarint(dst, uint64(wanted.Total()))
	}
	for _, n := range wanted {
		dst = binary.AppendUvarint(dst, uint64(n))
	}
	return dst
}

// DecodeTokenRequest decodes the output of AppendTokenRequest, with or without ranks.
func DecodeTokenRequest(b []byte) (p catalog.LimitPartition, wanted quota.Wanted, err error) {
	d := decoder{b: b}
	p = d.partition()
	wanted[0] = d.tokens()
	for rank := 1; rank < len(wanted) && len(d.b) > 0; rank++ {
		wanted[rank] = d.tokens()
	}
	return p, wanted, d.finish("tokens")
}

// maxTokens keeps malformed numbers of tokens from overflowing a sum.
const maxTokens = 1 << 30

func (d *decoder) tokens() int {
	n := d.uvarint()
	d.failed = d.failed || n > maxTokens
	return int(min(n, maxTokens))
}
