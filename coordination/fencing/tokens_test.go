package fencing

import "testing"

// Guards against a token that is issued in two eras of the store, or that a platform
// cannot represent.
func TestTokensOfErasDoNotOverlap(t *testing.T) {
	if got := FirstToken(0); got != 1 {
		t.Errorf("a store without eras begins with token %d", got)
	}
	const tokensOfAnEra = 1 << 31 // far more than are issued
	for _, era := range []uint64{0, 1, 2, 1000, maxEra - 1} {
		if last, next := FirstToken(era)+tokensOfAnEra, FirstToken(era+1); next <= last {
			t.Errorf("era %d begins with token %d, the one before goes up to %d", era+1, next, last)
		}
	}
	if got := FirstToken(1<<60) + tokensOfAnEra; got >= 1<<maxTokenBits {
		t.Errorf("token %d is too long", got)
	}
}
