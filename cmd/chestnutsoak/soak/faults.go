package soak

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutdyke/chestnutdyke/platform/standin"
	"github.com/chestnutdyke/chestnutdyke/standin/managed"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
)

// fault is a failure to inject. start injects it and returns a function that ends it.
type fault struct {
	name  string
	start func(tb *testbed, rng *rand.Rand) func()
}

var faults = []fault{
	{"kill", func(tb *testbed, rng *rand.Rand) func() { return tb.stopVM(rng, syscall.SIGKILL) }},
	{"terminate", func(tb *testbed, rng *rand.Rand) func() { return tb.stopVM(rng, syscall.SIGTERM) }},
	// A VM is killed and restarted at once, several times, while clients have transactions
	// open whose connections it held.
	{"kill-series", func(tb *testbed, rng *rand.Rand) func() { return tb.killRepeatedly(rng) }},
	{"pause", func(tb *testbed, rng *rand.Rand) func() {
		v := tb.randomVM(rng)
		v.signal(syscall.SIGSTOP)
		return func() { v.signal(syscall.SIGCONT) }
	}},
	{"reload", func(tb *testbed, rng *rand.Rand) func() { tb.randomVM(rng).signal(syscall.SIGHUP); return func() {} }},
	{"store-silent", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.storeProxies, rng, stall, false) }},
	{"store-one-way", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.storeProxies, rng, stallReplies, false) }},
	{"store-slow", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.storeProxies, rng, delay, true) }},
	{"server-silent", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.serverProxies, rng, stall, false) }},
	{"server-one-way", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.serverProxies, rng, stallReplies, false) }},
	{"server-reset", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.serverProxies, rng, forward, true) }},
	{"client-reset", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.clientProxies, rng, forward, true) }},
	{"lost-answers", func(tb *testbed, rng *rand.Rand) func() {
		if p := tb.randomGroup(rng).Primary(); p != nil {
			p.LoseAnswers(3)
		}
		return func() {}
	}},
	// The store executes the next two orders 2 s late and does not answer them.
	{"late-orders", func(tb *testbed, _ *rand.Rand) func() { tb.store.LoseOrders(2, 2*time.Second); return func() {} }},
	// The replicas of a group receive no updates.
	{"deaf-replicas", func(tb *testbed, rng *rand.Rand) func() {
		replicas := tb.randomGroup(rng).Replicas()
		for _, s := range replicas {
			s.SetReplicationPaused(true)
		}
		return func() {
			for _, s := range replicas {
				s.SetReplicationPaused(false)
			}
		}
	}},
	{"step-down", func(tb *testbed, rng *rand.Rand) func() {
		if p := tb.randomGroup(rng).Primary(); p != nil {
			managed.Drain(tb.store, p)
			return func() { managed.Undrain(tb.store, p) }
		}
		return func() {}
	}},
	{"odd-entry", func(tb *testbed, rng *rand.Rand) func() {
		tb.store.Put(directory.Servers, directory.Entry{Name: "odd", Invalid: standin.OddRegistrations[rng.IntN(len(standin.OddRegistrations))]})
		return func() { tb.store.Put(directory.Servers, directory.Entry{Name: "odd", Deleted: true}) }
	}},
	{"configuration", func(tb *testbed, _ *rand.Rand) func() { tb.publishConfig(); return func() {} }},
	// The store drops its history of changes, so VMs must read all objects again.
	{"lost-history", func(tb *testbed, _ *rand.Rand) func() { tb.store.CompactHistory(); return func() {} }},
}

// restoreFault makes the store come back from a copy that is up to maxCopyAge old. The
// operator writes the configuration again when the fault ends.
var restoreFault = fault{"store-restored", func(tb *testbed, rng *rand.Rand) func() {
	tb.store.Restore(time.Duration(rng.Int64N(int64(maxCopyAge))))
	return tb.publishConfig
}}

// crashFault crashes the primary of the group whose commits wait for a replica, while one
// replica receives nothing, and sometimes the other replica too, until their registrations
// have expired. The servers start again with their logs. An order that follows may be
// carried out late.
var crashFault = fault{"deaf-crash", func(tb *testbed, rng *rand.Rand) func() {
	g := tb.groups[managed.GroupName(syncGroup)]
	primary, replicas := g.Primary(), g.Replicas()
	if primary == nil || len(replicas) < zoneCount-1 {
		return func() {} // another fault has crashed a server
	}
	deaf := rng.IntN(len(replicas))
	crashed, outage := []*managed.Server{primary}, time.Duration(0)
	if rng.Float64() < pairCrashShare {
		crashed, outage = append(crashed, replicas[1-deaf]), expiryTime
	}
	if rng.Float64() < lateOrderShare {
		tb.store.LoseOrders(1, lateOrderDelay)
	}
	replicas[deaf].SetReplicationPaused(true)
	time.Sleep(replicationLag)
	for _, s := range crashed {
		s.Crash()
	}
	return func() {
		time.Sleep(outage)
		for _, s := range crashed {
			if err := tb.restartServer(s); err != nil {
				panic(err)
			}
		}
		replicas[deaf].SetReplicationPaused(false)
	}
}}

const (
	// crashShare is the share of faults beside which crashFault is injected.
	crashShare     = 0.15
	pairCrashShare = 0.3
	lateOrderShare = 0.4
	lateOrderDelay = 4 * time.Second
	// expiryTime exceeds the time after which VMs drop a server that has crashed.
	expiryTime = 7 * time.Second
	maxCopyAge = 8 * time.Second
	// restoreShare is the share of faults beside which the store is restored.
	restoreShare = 0.1
)

// injectFaults starts random faults, which may overlap, for the time in the options.
// It returns when all of them have ended.
func (tb *testbed) injectFaults(r *Report) {
	rng := rand.New(rand.NewPCG(tb.options.Seed, 1))
	// Restores and crashes have random numbers of their own, so that seeds that once failed
	// still play the same other faults.
	restores := rand.New(rand.NewPCG(tb.options.Seed, 2))
	crashes := rand.New(rand.NewPCG(tb.options.Seed, 3))
	end := time.Now().Add(tb.options.Time)
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		tb.inject(faults[rng.IntN(len(faults))], rng, r, &wg)
		if restores.Float64() < restoreShare {
			tb.inject(restoreFault, restores, r, &wg)
		}
		if crashes.Float64() < crashShare {
			tb.inject(crashFault, crashes, r, &wg)
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	wg.Wait()
}

// inject starts the fault. It ends within a few seconds, which wg waits for.
func (tb *testbed) inject(f fault, rng *rand.Rand, r *Report, wg *sync.WaitGroup) {
	r.Faults = append(r.Faults, f.name)
	stop := f.start(tb, rng)
	length := 200*time.Millisecond + rand.N(3*time.Second)
	wg.Go(func() { time.Sleep(length); stop() })
}

func (tb *testbed) randomVM(rng *rand.Rand) *vm { return tb.vms[rng.IntN(len(tb.vms))] }

func (tb *testbed) randomGroup(rng *rand.Rand) *managed.Group {
	return tb.groups[managed.GroupName(rng.IntN(groupCount))]
}

// stopVM sends the signal to a random VM's process. The returned function waits for
// the end of the process and starts it again.
func (tb *testbed) stopVM(rng *rand.Rand, s syscall.Signal) func() {
	v := tb.randomVM(rng)
	v.signal(s)
	return func() {
		v.signal(syscall.SIGCONT) // another fault may have paused the process
		v.wait(7 * time.Second)   // longer than graceS in settingsFormat
		if err := tb.start(v); err != nil {
			panic(err)
		}
	}
}

// killRepeatedly kills a random VM's process and starts it again, killSeries times. The
// returned function waits for the end of the series.
func (tb *testbed) killRepeatedly(rng *rand.Rand) func() {
	v := tb.randomVM(rng)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range killSeries {
			v.signal(syscall.SIGKILL)
			v.wait(time.Second)
			if err := tb.start(v); err != nil {
				panic(err)
			}
			time.Sleep(500*time.Millisecond + rand.N(time.Second))
		}
	}()
	return func() { <-done }
}

// impair changes the mode of a random proxy, and resets its connections if reset is
// set. The proxies are sorted by name, so that the choice depends only on the seed.
func impair(proxies map[string]*proxy, rng *rand.Rand, m mode, reset bool) func() {
	p := proxies[slices.Sorted(maps.Keys(proxies))[rng.IntN(len(proxies))]]
	p.setMode(m)
	if reset {
		p.resetConnections()
	}
	return func() { p.setMode(forward) }
}
