package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

func (w *world) dump(server string) string {
	out := ""
	for _, p := range w.f.procs {
		p.tables.Shares.With(func(s *state.Shares) {
			c := s.Servers[server]
			out += fmt.Sprintf("\n%s/%d dead%v open%d agreed%d reported%d hold%v..%v till%v first%v base%d rbase%d lendable%d max%d wanted%d tickets", p.name, p.incarnation, p.dead, w.open[p][server], s.Agreed, s.Reported,
				p.tables.Lease.Hold().Since.Sub(p.local()), p.tables.Lease.Hold().Until.Sub(p.local()), s.EarlierLoansTill.Sub(p.local()), s.FirstProcess, c.Base, c.ReportedBase, c.Lendable, c.MaxLendable, c.Wanted)
			for _, t := range s.Tickets {
				out += fmt.Sprintf(" %d(%d)", t.Config.Ticket.Number, t.Units[server])
			}
			for _, l := range c.Loans.Lent {
				out += fmt.Sprintf(" lent %d to %s/%d #%d %v", l.Units, l.Borrower, l.Incarnation, l.Number, l.EndsAt.Sub(p.local()))
			}
			for _, l := range c.Loans.Borrowed {
				out += fmt.Sprintf(" borrowed %d from %s/%d #%d phase%d %v", l.Units, l.Lender, l.Incarnation, l.Number, l.Phase, l.EndsAt.Sub(p.local()))
			}
		})
	}
	return out
}

func TestDebug(t *testing.T) {
	p := plan{Seed: 0x27, Layout: []int{4}, Lost: 0.3, Repeated: 0.2, Slow: 0.05, StoreDown: true, Disturbances: []disturbance{{9450000000, "add", 1, 750 * time.Millisecond}, {8550000000, "kill", 6, 1950 * time.Millisecond}}}
	t.Log(p.run(hooks{}))
}
