package fleetlink_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// idle answers pings and nothing else.
type idle struct{}

func (idle) Execute(string, *statement.Work, func(statement.Result)) {}
func (idle) EndTx(string, uint64)                                    {}
func (idle) LinkClosed(string)                                       {}
func (idle) Grant(string, int) int                                   { return 0 }
func (idle) VMLost(string)                                           {}
func (idle) Ping() []byte                                            { return nil }
func (idle) Pong(string, string, []byte) fleetwire.Pong              { return fleetwire.Pong{} }
func (idle) PongReceived(string, fleetwire.Pong, time.Duration)      {}
func (idle) StatusReceived()                                         {}
func (idle) Document([]byte) []byte                                  { return nil }

// inFleet runs a test with the links of vm-1 and vm-2, which are in different
// data centres of a fleet of the given size. The other VMs do not run.
func inFleet(t *testing.T, size int, test func(n *memnet.Network, from *fleetlink.Links)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now().Add(-time.Hour)
		clock.SetSource(func() time.Duration { return time.Since(begin) })
		defer clock.SetSource(nil)
		n := memnet.New(1)
		defer n.Close()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		workers := pool.New(2)
		running.Go(func() { _ = workers.Run(ctx) })
		var addresses []string
		for i := range size {
			addresses = append(addresses, fmt.Sprintf("vm-%d:7000", i+1))
		}
		var links []*fleetlink.Links
		for i := range 2 {
			name, dc := fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("dc-%d", i+1)
			l := fleetlink.New(ctx, n.Host(name, dc), workers, fleetwire.Status{Name: name, Address: addresses[i], DataCentre: dc, Incarnation: 1},
				&log.Logger{Handler: discard.Default})
			l.Handle(idle{})
			running.Go(func() { _ = l.Run(ctx) })
			links = append(links, l)
		}
		for _, l := range links {
			l.Members(addresses)
		}
		time.Sleep(2 * time.Second)
		test(n, links[0])
		cancel()
		n.Close()
		running.Wait()
		time.Sleep(time.Minute) // dials to VMs that do not run end by their time-out
	})
}

// lost returns how long a call to vm-2 takes to fail once vm-2 is silent.
func lost(t *testing.T, n *memnet.Network, from *fleetlink.Links) time.Duration {
	t.Helper()
	n.Partition(memnet.Hosts("vm-1"), memnet.Hosts("vm-2"))
	sent := time.Now()
	ended := make(chan bool, 1)
	if !from.Call("vm-2", fleetwire.KindTokens, fleetwire.AppendTokens(nil, "c", 1), func(_ fleetwire.Frame, ok bool) { ended <- ok }) {
		t.Fatal("vm-2 is not linked")
	}
	if ok := <-ended; ok {
		t.Fatal("a silent VM answered")
	}
	return time.Since(sent)
}

// Guards against statements that wait behind a silent VM for as long as a large
// fleet takes to notice it by its rare pings.
func TestSilentVMIsNoticed(t *testing.T) {
	const noticedWithin = 1200 * time.Millisecond
	for _, size := range []int{2, 300} {
		inFleet(t, size, func(n *memnet.Network, from *fleetlink.Links) {
			if took := lost(t, n, from); took > noticedWithin {
				t.Errorf("a call in a fleet of %d VMs ended after %v, want %v", size, took, noticedWithin)
			}
		})
	}
}

// Guards against pings that grow with the fleet: their rate is bounded.
func TestPingIntervalGrowsWithFleet(t *testing.T) {
	inFleet(t, 2, func(_ *memnet.Network, from *fleetlink.Links) {
		if got := from.PingInterval(); got != 200*time.Millisecond {
			t.Errorf("interval of 2 VMs: %v", got)
		}
	})
	inFleet(t, 300, func(_ *memnet.Network, from *fleetlink.Links) {
		if got := from.PingInterval(); got < 4*time.Second {
			t.Errorf("interval of 300 VMs: %v", got)
		}
	})
}
