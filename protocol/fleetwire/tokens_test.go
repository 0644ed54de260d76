package fleetwire

import (
	"testing"

	"github.com/chestnutdyke/chestnutdyke/coordination/quota"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Guards against ranks that are lost, and against requests of VMs of earlier builds that are
// not understood.
func TestTokenRequest(t *testing.T) {
	partition := catalog.LimitPartition{Customer: "c", Index: 1}
	for _, c := range []struct {
		ranks bool
		want  quota.Wanted
	}{{true, quota.Wanted{1, 2, 3}}, {false, quota.Wanted{6}}} {
		p, got, err := DecodeTokenRequest(AppendTokenRequest(nil, partition, quota.Wanted{1, 2, 3}, c.ranks))
		if err != nil || p != partition || got != c.want {
			t.Errorf("ranks %v: %v %v %v", c.ranks, p, got, err)
		}
	}
	if _, _, err := DecodeTokenRequest(append(AppendTokenRequest(nil, partition, quota.Wanted{}, false), 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f)); err == nil {
		t.Error("a number of tokens that overflows is accepted")
	}
}
