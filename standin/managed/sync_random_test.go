package managed

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

var moreSeeds = flag.Int("syncseeds", 0, "number of further seeds that TestSyncCommitsSurviveRandomFaults plays")

// randomFaultSeeds are the seeds that each run plays.
var randomFaultSeeds = []int{
	0,
	23, // a PAUSE that the network held up left replicas paused
}

// randomFault is a fault that lasts for a random time.
type randomFault struct {
	name    string
	longest time.Duration
	start   func(d *Deployment, g *Group, rng *rand.Rand) (end func())
}

// restartLater crashes a server and returns what starts it again.
func restartLater(d *Deployment, s *Server) func() {
	s.Crash()
	return func() { d.RestartServer(s) }
}

func randomReplica(g *Group, rng *rand.Rand) *Server {
	replicas := g.Replicas()
	if len(replicas) == 0 {
		return nil
	}
	return replicas[rng.IntN(len(replicas))]
}

// replaceCoordinator ends the failover coordinator's VM and returns what starts it again.
func replaceCoordinator(d *Deployment, end func(*VM)) func() {
	vm := d.VM(d.Store.DutyHolder())
	select {
	case <-vm.done:
		return func() {} // another fault has ended it
	default:
	}
	end(vm)
	return func() { d.StartVM(vm.Name, vm.Zone) }
}

var randomFaults = []randomFault{
	{"deaf replica", 6 * time.Second, func(_ *Deployment, g *Group, rng *rand.Rand) func() {
		s := randomReplica(g, rng)
		if s == nil {
			return func() {}
		}
		s.SetReplicationPaused(true)
		return func() { s.SetReplicationPaused(false) }
	}},
	{"deaf replica, primary restarts", 1200 * time.Millisecond, func(d *Deployment, g *Group, rng *rand.Rand) func() {
		primary, deaf := g.Primary(), randomReplica(g, rng)
		if primary == nil || deaf == nil {
			return func() {}
		}
		deaf.SetReplicationPaused(true)
		time.Sleep(300 * time.Millisecond)
		primary.Crash()
		return func() {
			d.RestartServer(primary)
			time.Sleep(3 * time.Second)
			deaf.SetReplicationPaused(false)
		}
	}},
	{"deaf replica, the others crash", 9 * time.Second, func(d *Deployment, g *Group, _ *rand.Rand) func() {
		primary, replicas := g.Primary(), g.Replicas()
		if primary == nil || len(replicas) < 2 {
			return func() {}
		}
		replicas[0].SetReplicationPaused(true)
		time.Sleep(300 * time.Millisecond)
		primary.Crash()
		replicas[1].Crash()
		replicas[0].SetReplicationPaused(false)
		return func() {
			d.RestartServer(primary)
			d.RestartServer(replicas[1])
		}
	}},
	{"primary crashes", 9 * time.Second, func(d *Deployment, g *Group, _ *rand.Rand) func() {
		if s := g.Primary(); s != nil {
			return restartLater(d, s)
		}
		return func() {}
	}},
	{"primary restarts", 1200 * time.Millisecond, func(d *Deployment, g *Group, _ *rand.Rand) func() {
		if s := g.Primary(); s != nil {
			return restartLater(d, s)
		}
		return func() {}
	}},
	{"replica crashes", 9 * time.Second, func(d *Deployment, g *Group, rng *rand.Rand) func() {
		if s := randomReplica(g, rng); s != nil {
			return restartLater(d, s)
		}
		return func() {}
	}},
	{"late order", 0, func(d *Deployment, _ *Group, rng *rand.Rand) func() {
		d.Store.LoseOrders(1+rng.IntN(2), 2*time.Second+time.Duration(rng.Int64N(int64(4*time.Second))))
		return func() {}
	}},
	{"coordinator is killed", 3 * time.Second, func(d *Deployment, _ *Group, _ *rand.Rand) func() {
		return replaceCoordinator(d, (*VM).Kill)
	}},
	{"coordinator is stopped", 3 * time.Second, func(d *Deployment, _ *Group, _ *rand.Rand) func() {
		return replaceCoordinator(d, (*VM).Terminate)
	}},
	{"coordinator is cut off", 4 * time.Second, func(d *Deployment, _ *Group, _ *rand.Rand) func() {
		holder := d.Store.DutyHolder()
		var others []string
		for z := range d.Zones {
			for v := range d.Options.VMs {
				if name := fmt.Sprintf("vm-%d-%d", z, v); name != holder {
					others = append(others, name)
				}
			}
		}
		partition := d.Net.Partition(memnet.Hosts(holder), memnet.Hosts(others...))
		return partition.Heal
	}},
	{"primary drains", 5 * time.Second, func(d *Deployment, g *Group, _ *rand.Rand) func() {
		s := g.Primary()
		if s == nil {
			return func() {}
		}
		Drain(d.Store, s)
		return func() { Undrain(d.Store, s) }
	}},
	{"store is down", 3 * time.Second, func(d *Deployment, _ *Group, _ *rand.Rand) func() {
		d.Store.SetOutage("", Unavailable)
		return func() { d.Store.SetOutage("", Available) }
	}},
}

// Guards against acknowledged commits that are lost, and groups that are not served again,
// when crashes, deaf replicas, late orders and changes of the coordinator meet.
func TestSyncCommitsSurviveRandomFaults(t *testing.T) {
	seeds := randomFaultSeeds
	for seed := range *moreSeeds {
		seeds = append(seeds, 100+seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inDeployment(t, syncDeployment, func(d *Deployment) {
				rng := rand.New(rand.NewPCG(uint64(seed), 1))
				for _, g := range d.Groups {
					g.SetPromoteDelay(600 * time.Millisecond)
				}
				l := startLoad(t, d)
				time.Sleep(2 * time.Second)
				var running sync.WaitGroup
				var played []string
				for range 20 {
					f := randomFaults[rng.IntN(len(randomFaults))]
					g := d.Groups[GroupName(rng.IntN(syncDeployment.Groups))]
					played = append(played, f.name)
					end := f.start(d, g, rng)
					length := 100*time.Millisecond + time.Duration(rng.Int64N(int64(f.longest+1)))
					running.Go(func() { time.Sleep(length); end() })
					time.Sleep(time.Duration(rng.Int64N(int64(1500 * time.Millisecond))))
				}
				running.Wait()
				time.Sleep(12 * time.Second)
				for i := range syncDeployment.Groups {
					c := connect(t, d.VM("vm-1-0"), fmt.Sprintf("probe-%d", i), Database(Latest, i), 0)
					if _, a := c.Do(statement.Write, "probe 1"); a.Code != statement.OK {
						t.Errorf("%s: write after the faults: %s %s", GroupName(i), a.Code, a.Text)
					}
					c.Close()
				}
				l.finish()
				if t.Failed() {
					t.Log(slices.Compact(played))
				}
			})
		})
	}
}
