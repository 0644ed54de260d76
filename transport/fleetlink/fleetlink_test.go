package fleetlink_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/quota"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// idleHandler responds to pings and ignores everything else.
type idleHandler struct{}

func (idleHandler) Execute(string, *statement.RemoteStatement, func(statement.Result)) {}
func (idleHandler) AbortTx(string, uint64)                                             {}
func (idleHandler) LinkClosed(string)                                                  {}
func (idleHandler) GrantTokens(catalog.LimitPartition, quota.Wanted) int               { return 0 }
func (idleHandler) LendConnections(string, string, int, func(int))                     {}
func (idleHandler) VMLost(string)                                                      {}
func (idleHandler) PingBody() []byte                                                   { return nil }
func (idleHandler) HandlePing(*fleetwire.Status, string, []byte) fleetwire.Pong {
	return fleetwire.Pong{}
}
func (idleHandler) HandlePong(string, fleetwire.Pong, time.Duration) {}
func (idleHandler) HandleStatus(*fleetwire.Status)                   {}
func (idleHandler) UpdatesSince([]byte) []byte                       { return nil }
func (idleHandler) HandleFencing(fleetwire.Kind, []byte, func(fleetwire.Kind, []byte)) error {
	return nil
}
func (idleHandler) HandleUsage(fleetwire.Kind, []byte, func(fleetwire.Kind, []byte)) error {
	return nil
}

// testFleet is the environment in which the VMs of a test run.
type testFleet struct {
	net     *memnet.Network
	pool    *pool.Pool
	size    int // number of VMs in the list of members
	ctx     context.Context
	running sync.WaitGroup
}

func address(vm int) string { return fmt.Sprintf("vm-%d:7000", vm) }

// start starts the links of a VM in a data centre of its own. It returns them
// and a function that stops the VM.
func (f *testFleet) start(vm int, change func(*fleetwire.Status)) (*fleetlink.Links, func()) {
	return f.run(vm, idleHandler{}, change)
}

// startWithHandler starts the links of a VM with the given handler.
func (f *testFleet) startWithHandler(vm int, h fleetlink.Handler) { f.run(vm, h, nil) }

func (f *testFleet) run(vm int, h fleetlink.Handler, change func(*fleetwire.Status)) (*fleetlink.Links, func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	name, dc := fmt.Sprintf("vm-%d", vm), fmt.Sprintf("dc-%d", vm)
	status := fleetwire.Status{Name: name, Address: address(vm), DataCentre: dc, Incarnation: 1}
	if change != nil {
		change(&status)
	}
	l := fleetlink.New(ctx, f.net.Host(name, dc), f.pool, status, &log.Logger{Handler: discard.Default})
	l.SetHandler(h)
	ended := make(chan struct{})
	f.running.Go(func() {
		defer close(ended)
		_ = l.Run(ctx)
	})
	var members []placement.Member
	for i := range f.size {
		members = append(members, placement.Member{Name: fmt.Sprintf("vm-%d", i+1), Address: address(i + 1)})
	}
	l.SetMembers(members)
	return l, func() {
		cancel()
		<-ended
		f.net.Break(memnet.Hosts(name), memnet.All())
	}
}

// runWithFleet runs a test with a fleet of the given size, in which no VM is
// running yet.
func runWithFleet(t *testing.T, size int, test func(f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now().Add(-time.Hour)
		clock.SetForTest(func() time.Duration { return time.Since(begin) })
		defer clock.SetForTest(nil)
		n := memnet.New(1)
		defer n.Close()
		ctx, cancel := context.WithCancel(context.Background())
		f := &testFleet{net: n, pool: pool.New(2), size: size, ctx: ctx}
		f.running.Go(func() { _ = f.pool.Run(ctx) })
		test(f)
		cancel()
		n.Close()
		f.running.Wait()
		time.Sleep(time.Minute) // dials to VMs that are not running time out
	})
}

// runWithTwoVMs runs a test with the links of vm-1 and vm-2. The other VMs of
// the fleet are not running.
func runWithTwoVMs(t *testing.T, size int, test func(n *memnet.Network, from *fleetlink.Links)) {
	t.Helper()
	runWithFleet(t, size, func(f *testFleet) {
		first, _ := f.start(1, nil)
		f.start(2, nil)
		time.Sleep(2 * time.Second)
		test(f.net, first)
	})
}

// timeToFailure partitions vm-1 from vm-2 and returns how long a call to vm-2
// takes to fail.
func timeToFailure(t *testing.T, n *memnet.Network, from *fleetlink.Links) time.Duration {
	t.Helper()
	n.Partition(memnet.Hosts("vm-1"), memnet.Hosts("vm-2"))
	sent := time.Now()
	ended := make(chan bool, 1)
	if !from.Call("vm-2", fleetwire.KindTokenRequest, fleetwire.AppendTokenRequest(nil, catalog.LimitPartition{Customer: "c"}, quota.Wanted{1}, false), func(_ fleetwire.Frame, ok bool) { ended <- ok }) {
		t.Fatal("there is no link to vm-2")
	}
	if ok := <-ended; ok {
		t.Fatal("a silent VM responded")
	}
	return time.Since(sent)
}

// Guards against statements that wait for a silent VM until it is detected by
// the infrequent pings of a large fleet.
func TestSilentVMIsDetected(t *testing.T) {
	const detectedWithin = 1200 * time.Millisecond
	for _, size := range []int{2, 300} {
		runWithTwoVMs(t, size, func(n *memnet.Network, from *fleetlink.Links) {
			if took := timeToFailure(t, n, from); took > detectedWithin {
				t.Errorf("a call in a fleet of %d VMs failed after %v, want at most %v", size, took, detectedWithin)
			}
		})
	}
}

// Guards against a number of pings that grows with the fleet. Their rate must
// be bounded.
func TestPingIntervalGrowsWithFleet(t *testing.T) {
	runWithTwoVMs(t, 2, func(_ *memnet.Network, from *fleetlink.Links) {
		if got := from.PingInterval(); got != 200*time.Millisecond {
			t.Errorf("interval with 2 VMs: %v, want 200ms", got)
		}
	})
	runWithTwoVMs(t, 300, func(_ *memnet.Network, from *fleetlink.Links) {
		if got := from.PingInterval(); got < 4*time.Second {
			t.Errorf("interval with 300 VMs: %v, want at least 4s", got)
		}
	})
}

// Guards against VMs that start one after the other and are linked only at the
// next regular dial attempt. After a restart of the fleet, limits could not be
// lent during that time.
func TestStartedVMIsLinkedImmediately(t *testing.T) {
	const linkedWithin = 20 * time.Millisecond // a few round trips
	for offset := time.Duration(0); offset < 300*time.Millisecond; offset += 60 * time.Millisecond {
		runWithFleet(t, 2, func(f *testFleet) {
			first, _ := f.start(1, nil)
			time.Sleep(time.Second + offset)
			f.start(2, nil)
			time.Sleep(linkedWithin)
			if n := first.View().AliveCount(); n != 2 {
				t.Errorf("started %v after a dial attempt: %d VMs are alive after %v, want 2", offset, n, linkedWithin)
			}
		})
	}
}

// Guards against a VM that restarted after its clock was set back and whose
// status is rejected as outdated. The other VMs would continue to treat it as
// leaving.
func TestRestartWithClockSetBack(t *testing.T) {
	runWithFleet(t, 2, func(f *testFleet) {
		first, _ := f.start(1, nil)
		_, stop := f.start(2, func(s *fleetwire.Status) { s.Incarnation, s.Leaving = 100, true })
		time.Sleep(time.Second)
		stop()
		f.start(2, func(s *fleetwire.Status) { s.Incarnation = 50 })
		time.Sleep(time.Second)
		for _, vm := range first.View().VMs {
			if vm.Name == "vm-2" && (vm.Leaving || !vm.Alive || vm.Incarnation != 50) {
				t.Errorf("status of vm-2 after its restart: %+v", vm)
			}
		}
	})
}

// Guards against calls that wait for a VM which lost power and restarted. Its
// new process does not know the old link, so they would never be answered.
func TestCallsEndWhenVMRestarts(t *testing.T) {
	const detectedWithin = 20 * time.Millisecond // a few round trips
	runWithFleet(t, 2, func(f *testFleet) {
		first, _ := f.start(1, nil)
		f.start(2, nil)
		time.Sleep(time.Second)
		// The old process never responds to this call.
		partition := f.net.Partition(memnet.Hosts("vm-1"), memnet.Hosts("vm-2"))
		defer partition.Heal()
		failed := make(chan time.Time, 1)
		first.Call("vm-2", fleetwire.KindTokenRequest, fleetwire.AppendTokenRequest(nil, catalog.LimitPartition{Customer: "c"}, quota.Wanted{1}, false), func(fleetwire.Frame, bool) { failed <- time.Now() })
		// The restarted process sends its status over another path, because the
		// one between the two VMs is partitioned.
		conn, err := f.net.Host("vm-2-again", "dc-2").Dial(f.ctx, address(1))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		restarted := fleetwire.Status{Name: "vm-2", Address: address(2), DataCentre: "dc-2", Incarnation: 2}
		sentAt := time.Now()
		if _, err := conn.Write(fleetwire.Frame{Kind: fleetwire.KindStatus, Body: restarted.Encode()}.Append(nil)); err != nil {
			t.Fatal(err)
		}
		if took := (<-failed).Sub(sentAt); took > detectedWithin {
			t.Errorf("a call sent before the restart failed %v after it, want at most %v", took, detectedWithin)
		}
	})
}

// Guards against a partitioned data centre that a large fleet detects only
// after the next infrequent pings to all of its VMs have failed.
func TestPartitionedDataCentreIsDetected(t *testing.T) {
	const detectedWithin = 2 * time.Second // shorter than the two probes after which a VM is taken out of rotation
	runWithFleet(t, 300, func(f *testFleet) {
		first, _ := f.start(1, nil)
		far := func(s *fleetwire.Status) { s.DataCentre = "dc-far" }
		f.start(2, far)
		f.start(3, far)
		time.Sleep(2 * time.Second)
		if n := first.View().AliveCount(); n != 3 {
			t.Fatalf("%d VMs are alive, want 3", n)
		}
		partition := f.net.Partition(memnet.Hosts("vm-1"), memnet.Hosts("vm-2", "vm-3"))
		defer partition.Heal()
		first.Call("vm-2", fleetwire.KindTokenRequest, fleetwire.AppendTokenRequest(nil, catalog.LimitPartition{Customer: "c"}, quota.Wanted{1}, false), func(fleetwire.Frame, bool) {})
		time.Sleep(detectedWithin)
		if n := first.View().AliveCount(); n != 1 {
			t.Errorf("%d VMs are considered alive %v after the partition, want 1", n, detectedWithin)
		}
	})
}

// Guards against a VM that sends its status to a large fleet on every single
// change, and against a last change that is never sent.
func TestStatusChangesAreBatched(t *testing.T) {
	runWithFleet(t, 300, func(f *testFleet) {
		first, _ := f.start(1, nil)
		h := &statusRecorder{}
		f.startWithHandler(2, h)
		time.Sleep(2 * time.Second)
		before := h.received.Load()
		for i := range 100 {
			first.UpdateStatus(fleetlink.All, func(s *fleetwire.Status) { s.Revisions = map[string]uint64{"kind": uint64(i + 1)} })
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(400 * time.Millisecond)
		if sent := h.received.Load() - before; sent > 6 {
			t.Errorf("100 changes in a second caused %d status messages, want at most 6", sent)
		}
		if latest := h.revision.Load(); latest != 100 {
			t.Errorf("the latest revision received is %d, want 100", latest)
		}
	})
}

// statusRecorder counts the statuses received and keeps the latest revision of
// "kind".
type statusRecorder struct {
	idleHandler
	received, revision atomic.Uint64
}

func (r *statusRecorder) HandleStatus(s *fleetwire.Status) {
	r.received.Add(1)
	r.revision.Store(s.Revisions["kind"])
}

// Guards against VMs that lost power and still count as members, because their links were
// never closed.
func TestSilentAcceptedLinkIsClosed(t *testing.T) {
	runWithFleet(t, 2, func(f *testFleet) {
		first, _ := f.start(1, nil)
		f.start(2, nil)
		time.Sleep(time.Second)
		partition := f.net.Partition(memnet.Hosts("vm-1"), memnet.Hosts("vm-2"))
		defer partition.Heal()
		time.Sleep(40 * time.Second)
		if connected := first.Connected(); len(connected) > 0 {
			t.Errorf("still connected with %v", connected)
		}
	})
}
