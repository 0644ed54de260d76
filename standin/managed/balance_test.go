package managed

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Guards against reads that all stay at a slow server, that all leave it at once, that do
// not return to it, or that leave the data centre without need.
func TestReadsFollowTheLoad(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		replica := d.Groups[GroupName(0)].Replicas()[0]
		var clients []*Client
		for _, vm := range d.VMs {
			if vm.Zone == replica.Zone {
				for i := range 4 {
					clients = append(clients, connect(t, vm, fmt.Sprintf("%s-%d", vm.Name, i), Database(Bounded, 0), i%d.Customers))
				}
			}
		}
		if len(clients) == 0 {
			t.Fatal("no VM in the data centre of the replica")
		}
		// localShare returns the part of the reads that the replica serves.
		localShare := func(rounds int) float64 {
			local, total := 0, 0
			for range rounds {
				for _, c := range clients {
					if mustDo(t, c, statement.Read, "x").Signature == replica.ID {
						local++
					}
					total++
				}
				time.Sleep(20 * time.Millisecond)
			}
			return float64(local) / float64(total)
		}
		if got := localShare(100); got < 0.95 {
			t.Errorf("%.2f of the reads stay in the data centre while its server is fast", got)
		}
		replica.SetExtraWork(20 * time.Millisecond)
		localShare(20)
		if got := localShare(50); got < 0.05 || got > 0.7 {
			t.Errorf("%.2f of the reads stay in the data centre while its server is slow", got)
		}
		replica.SetExtraWork(0)
		localShare(100)
		if got := localShare(100); got < 0.9 {
			t.Errorf("%.2f of the reads stay in the data centre after its server recovered", got)
		}
	})
}
