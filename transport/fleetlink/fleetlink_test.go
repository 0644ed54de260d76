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

	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
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
func (idle) Grant(catalog.Half, int) int                             { return 0 }
func (idle) VMLost(string)                                           {}
func (idle) Ping() []byte                                            { return nil }
func (idle) Pong(string, string, []byte) fleetwire.Pong              { return fleetwire.Pong{} }
func (idle) PongReceived(string, fleetwire.Pong, time.Duration)      {}
func (idle) StatusReceived(*fleetwire.Status)                        {}
func (idle) Document([]byte) []byte                                  { return nil }

// world is where the VMs of a test run.
type world struct {
	net     *memnet.Network
	pool    *pool.Pool
	size    int // of the fleet
	ctx     context.Context
	running sync.WaitGroup
}

func address(vm int) string { return fmt.Sprintf("vm-%d:7000", vm) }

// start starts the links of a VM, which is in a data centre of its own, and
// returns them and what ends the VM.
func (w *world) start(vm int, change func(*fleetwire.Status)) (*fleetlink.Links, func()) {
	return w.run(vm, idle{}, change)
}

// startHandling starts the links of a VM with a handler.
func (w *world) startHandling(vm int, h fleetlink.Handler) { w.run(vm, h, nil) }

func (w *world) run(vm int, h fleetlink.Handler, change func(*fleetwire.Status)) (*fleetlink.Links, func()) {
	ctx, cancel := context.WithCancel(w.ctx)
	name, dc := fmt.Sprintf("vm-%d", vm), fmt.Sprintf("dc-%d", vm)
	status := fleetwire.Status{Name: name, Address: address(vm), DataCentre: dc, Incarnation: 1}
	if change != nil {
		change(&status)
	}
	l := fleetlink.New(ctx, w.net.Host(name, dc), w.pool, status, &log.Logger{Handler: discard.Default})
	l.Handle(h)
	ended := make(chan struct{})
	w.running.Go(func() {
		defer close(ended)
		_ = l.Run(ctx)
	})
	var addresses []string
	for i := range w.size {
		addresses = append(addresses, address(i+1))
	}
	l.Members(addresses)
	return l, func() {
		cancel()
		<-ended
		w.net.Break(memnet.Hosts(name), memnet.All())
	}
}

// inWorld runs a test with a fleet of the given size, of which no VM runs yet.
func inWorld(t *testing.T, size int, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now().Add(-time.Hour)
		clock.SetSource(func() time.Duration { return time.Since(begin) })
		defer clock.SetSource(nil)
		n := memnet.New(1)
		defer n.Close()
		ctx, cancel := context.WithCancel(context.Background())
		w := &world{net: n, pool: pool.New(2), size: size, ctx: ctx}
		w.running.Go(func() { _ = w.pool.Run(ctx) })
		test(w)
		cancel()
		n.Close()
		w.running.Wait()
		time.Sleep(time.Minute) // dials to VMs that do not run end by their time-out
	})
}

// inFleet runs a test with the links of vm-1 and vm-2. The other VMs do not run.
func inFleet(t *testing.T, size int, test func(n *memnet.Network, from *fleetlink.Links)) {
	t.Helper()
	inWorld(t, size, func(w *world) {
		first, _ := w.start(1, nil)
		w.start(2, nil)
		time.Sleep(2 * time.Second)
		test(w.net, first)
	})
}

// lost returns how long a call to vm-2 takes to fail once vm-2 is silent.
func lost(t *testing.T, n *memnet.Network, from *fleetlink.Links) time.Duration {
	t.Helper()
	n.Partition(memnet.Hosts("vm-1"), memnet.Hosts("vm-2"))
	sent := time.Now()
	ended := make(chan bool, 1)
	if !from.Call("vm-2", fleetwire.KindTokens, fleetwire.AppendTokens(nil, catalog.Half{Customer: "c"}, 1), func(_ fleetwire.Frame, ok bool) { ended <- ok }) {
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

// Guards against VMs that start one after the other and miss each other until
// the next attempt to dial: after a restart of the fleet the limits' shares are
// out of reach for that time.
func TestVMThatStartsIsLinkedAtOnce(t *testing.T) {
	const linkedWithin = 20 * time.Millisecond // a few round trips
	for offset := time.Duration(0); offset < 300*time.Millisecond; offset += 60 * time.Millisecond {
		inWorld(t, 2, func(w *world) {
			first, _ := w.start(1, nil)
			time.Sleep(time.Second + offset)
			w.start(2, nil)
			time.Sleep(linkedWithin)
			if n := first.View().AliveCount(); n != 2 {
				t.Errorf("started %v after an attempt: %d VMs are heard after %v", offset, n, linkedWithin)
			}
		})
	}
}

// Guards against a VM that started again after its clock was set back and whose
// description is taken for an older one: the others would go on to believe that
// it is leaving.
func TestRestartWithClockSetBack(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		first, _ := w.start(1, nil)
		_, stop := w.start(2, func(s *fleetwire.Status) { s.Incarnation, s.Leaving = 100, true })
		time.Sleep(time.Second)
		stop()
		w.start(2, func(s *fleetwire.Status) { s.Incarnation = 50 })
		time.Sleep(time.Second)
		for _, vm := range first.View().VMs {
			if vm.Name == "vm-2" && (vm.Leaving || !vm.Alive || vm.Incarnation != 50) {
				t.Errorf("after its restart vm-2 is known as %+v", vm)
			}
		}
	})
}

// Guards against calls that wait behind a VM which lost its power and runs
// again: its new process does not know their link.
func TestCallsEndWhenVMRunsAnew(t *testing.T) {
	const noticedWithin = 20 * time.Millisecond // a few round trips
	inWorld(t, 2, func(w *world) {
		first, _ := w.start(1, nil)
		w.start(2, nil)
		time.Sleep(time.Second)
		// A call that the old process never answers.
		cut := w.net.Partition(memnet.Hosts("vm-1"), memnet.Hosts("vm-2"))
		defer cut.Heal()
		failed := make(chan time.Time, 1)
		first.Call("vm-2", fleetwire.KindTokens, fleetwire.AppendTokens(nil, catalog.Half{Customer: "c"}, 1), func(fleetwire.Frame, bool) { failed <- time.Now() })
		// Its successor describes itself, from another path than the silent one.
		conn, err := w.net.Host("vm-2-again", "dc-2").Dial(w.ctx, address(1))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		anew := fleetwire.Status{Name: "vm-2", Address: address(2), DataCentre: "dc-2", Incarnation: 2}
		said := time.Now()
		if _, err := conn.Write(fleetwire.Frame{Kind: fleetwire.KindStatus, Body: anew.Encode()}.Append(nil)); err != nil {
			t.Fatal(err)
		}
		if took := (<-failed).Sub(said); took > noticedWithin {
			t.Errorf("a call of before the restart fails %v after it, want %v", took, noticedWithin)
		}
	})
}

// Guards against a data centre that is cut off and, in a large fleet, known to be
// so only when the next rare pings to all of its VMs are missed.
func TestCutOffDataCentreIsNoticed(t *testing.T) {
	const noticedWithin = 2 * time.Second // within the two probes that take a VM out of rotation
	inWorld(t, 300, func(w *world) {
		first, _ := w.start(1, nil)
		far := func(s *fleetwire.Status) { s.DataCentre = "dc-far" }
		w.start(2, far)
		w.start(3, far)
		time.Sleep(2 * time.Second)
		if n := first.View().AliveCount(); n != 3 {
			t.Fatalf("%d VMs are heard", n)
		}
		cut := w.net.Partition(memnet.Hosts("vm-1"), memnet.Hosts("vm-2", "vm-3"))
		defer cut.Heal()
		first.Call("vm-2", fleetwire.KindTokens, fleetwire.AppendTokens(nil, catalog.Half{Customer: "c"}, 1), func(fleetwire.Frame, bool) {})
		time.Sleep(noticedWithin)
		if n := first.View().AliveCount(); n != 1 {
			t.Errorf("%d VMs are taken as alive %v after the cut", n, noticedWithin)
		}
	})
}

// Guards against a VM that describes itself to a large fleet at each of many
// changes, and against a last change that is not told.
func TestDescriptionsAreToldTogether(t *testing.T) {
	inWorld(t, 300, func(w *world) {
		first, _ := w.start(1, nil)
		h := &listener{}
		w.startHandling(2, h)
		time.Sleep(2 * time.Second)
		before := h.heard.Load()
		for i := range 100 {
			first.Describe(fleetlink.All, func(s *fleetwire.Status) { s.Revisions = map[string]uint64{"kind": uint64(i + 1)} })
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(400 * time.Millisecond)
		if told := h.heard.Load() - before; told > 6 {
			t.Errorf("100 changes in a second are told %d times", told)
		}
		if latest := h.revision.Load(); latest != 100 {
			t.Errorf("the latest revision told is %d", latest)
		}
	})
}

// listener counts descriptions and keeps the latest revision of "kind".
type listener struct {
	idle
	heard, revision atomic.Uint64
}

func (l *listener) StatusReceived(s *fleetwire.Status) {
	l.heard.Add(1)
	l.revision.Store(s.Revisions["kind"])
}
