package managed

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
)

// Guards against a VM without a majority that begins to replace a primary of its data
// centre, which is being emptied, and orders the former primary to stay once it reaches the
// others again: that promotes it in place of its successor.
func TestFormerPrimaryStaysReplacedAfterPartition(t *testing.T) {
	for _, cut := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond, 4500 * time.Millisecond} {
		for _, emptiedAfter := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprint(cut, emptiedAfter), func(t *testing.T) {
				o := smallDeployment
				o.Groups, o.Lag = 3, 300*time.Millisecond
				inDeployment(t, o, func(d *Deployment) {
					l := startLoad(t, d)
					time.Sleep(2 * time.Second)
					partition := d.Net.Partition(memnet.Zones(zoneName(0)), memnet.Zones(zoneName(1), zoneName(2)))
					time.Sleep(emptiedAfter)
					d.Store.Put(directory.OutOfService, directory.Entry{Name: zoneName(0)})
					time.Sleep(cut - emptiedAfter)
					partition.Heal()
					time.Sleep(4 * time.Second)
					l.finish()
					replaced := false
					for _, order := range d.Store.Orders() {
						if order.Group != GroupName(0) || order.Refused {
							continue
						}
						former := order.Server == GroupName(0)+"-s0"
						if former && replaced {
							t.Errorf("%s orders the former primary with token %d", order.Holder, order.Token)
						}
						replaced = replaced || !former
					}
					if !replaced {
						t.Error("the primary was not replaced")
					}
				})
			})
		}
	}
}
