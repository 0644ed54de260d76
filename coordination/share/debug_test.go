package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

func TestDebug(t *testing.T) {
	config := fleetConfig(1, 3, 3, 2)
	rates, bursts := policyCustomers()
	sim := &policySim{f: newFleet(1, config), s: scenarios[2], waiting: make(map[waitKey]pending)}
	sim.f.onEnd = sim.ended
	for i := range rates {
		addCustomer(config, customerName(i), rates[i], bursts[i])
		sim.ideals = append(sim.ideals, ideal{rate: rates[i], burst: bursts[i], level: bursts[i]})
	}
	sim.f.startAll(func() float64 { return 1 })
	sim.f.after(policyWarmUp-5*time.Second, func() { sim.send(7) })
	last := 0
	for i := 0; i < 600; i++ {
		sim.f.runUntil(policyWarmUp + time.Duration(i)*100*time.Millisecond)
		fmt.Printf("%.1f late+%d ", float64(i)/10, sim.result.lateOf[7]-last)
		last = sim.result.lateOf[7]
		for _, p := range sim.f.procs {
			p.tables.Shares.With(func(s *state.Shares) {
				c := s.Customers["customer8"]
				if c.Base.Rate > 0 || len(c.Loans.Borrowed) > 0 || len(c.Waiters) > 0 {
					fmt.Printf("%s r%.1f c%.1f l%.1f w%d d%.0f L%d B%d | ", p.name, rate(c), capacity(c), c.Level, len(c.Waiters), demandNow(&c.Demand, p.local()), len(c.Loans.Lent), len(c.Loans.Borrowed))
				}
			})
		}
		fmt.Println()
	}
}
