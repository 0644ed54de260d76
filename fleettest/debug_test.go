package fleettest

import (
	"fmt"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

func (w *world) debugExcess(c fleet.Customer) {
	st := w.tap.of(c.Name)
	lowest, li, bi, bj := 0.0, 0, 0, 0
	worst := -1e9
	for i, s := range st {
		used := float64(i) - c.Rate*s.at.Sub(st[0].at).Seconds()
		if i == 0 || used < lowest {
			lowest, li = used, i
		}
		if e := used + 1 - lowest - c.Burst; e > worst {
			worst, bi, bj = e, li, i
		}
	}
	by := map[string]int{}
	seen := map[string]int{}
	dup := 0
	var maxd time.Duration
	late := 0
	for _, s := range st[bi : bj+1] {
		by[s.vm+">"+s.server]++
		seen[s.id]++
		if seen[s.id] > 1 {
			dup++
		}
		for _, l := range w.debugLoads {
			if l.customer != c.Name {
				continue
			}
			for _, r := range l.requests {
				if r.id == s.id {
					d := s.at.Sub(r.sent)
					maxd = max(maxd, d)
					if d > 100*time.Millisecond {
						late++
					}
				}
			}
		}
	}
	fmt.Println("worst", worst, "from", st[bi].at.Sub(st[0].at), "to", st[bj].at.Sub(st[0].at), "count", bj-bi+1, by, "dup", dup, "maxdelay", maxd, "late", late)
	t0 := st[bi].at
	buckets := map[int]int{}
	for _, s := range st[bi : bj+1] {
		buckets[int(s.at.Sub(t0).Seconds()*4)]++
	}
	fmt.Println(buckets)
}
