package exchange

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
)

// trafficBudget limits the control traffic that a VM sends and receives.
const trafficBudget = 21_000 // bytes per second

// usage is the traffic that one VM sent and received: bytes, messages, and bytes
// by section.
type usage struct {
	wire, messages int64
	sections       map[string]int64
}

func usageOf(v *vm) usage {
	u := usage{sections: make(map[string]int64)}
	for _, c := range v.scope.Snapshot().Counters() {
		switch c.Name() {
		case "peer.wire_bytes":
			u.wire += c.Value()
		case "peer.messages":
			u.messages += c.Value()
		case "peer.section_bytes":
			u.sections[c.Tags()["section"]] += c.Value()
		}
	}
	return u
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// Guards against exceeding the budget of control traffic, and against VMs that
// are considered silent because relayed ages arrive too late. Run it with -v to
// print the figures.
func TestTrafficWithinBudget(t *testing.T) {
	const warmup, measured = 5 * time.Second, 10 * time.Second
	for _, size := range []int{3, 9, 27, 49} {
		t.Run(fmt.Sprintf("%d VMs", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size, "fes1")
				f.startAll()
				time.Sleep(warmup)
				before := make(map[string]usage)
				for name, v := range f.vms {
					before[name] = usageOf(v)
				}
				started := cpuTime()
				ages := f.sampleAges(measured)
				used := cpuTime() - started
				checkTraffic(t, f, before, measured, ages, used)
			})
		})
	}
}

// sampleAges samples for d how long ago each VM last heard of each other one, and
// returns the ages sorted.
func (f *fleet) sampleAges(d time.Duration) []time.Duration {
	var ages []time.Duration
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for name, v := range f.vms {
			for _, m := range v.tables.Members.All() {
				if m.Name != name {
					ages = append(ages, m.Age(time.Now()))
				}
			}
		}
	}
	slices.Sort(ages)
	return ages
}

func checkTraffic(t *testing.T, f *fleet, before map[string]usage, d time.Duration, ages []time.Duration, used time.Duration) {
	var maxWire, total, messages int64
	sections := make(map[string]int64)
	for name, v := range f.vms {
		after := usageOf(v)
		wire := after.wire - before[name].wire
		maxWire, total = max(maxWire, wire), total+wire
		messages += after.messages - before[name].messages
		for section, n := range after.sections {
			sections[section] += n - before[name].sections[section]
		}
	}
	seconds := int64(d / time.Second)
	perVM := func(n int64) int64 { return n / seconds / int64(len(f.vms)) }
	var parts []string
	bodies := int64(0)
	for section, n := range sections {
		bodies += n
		if perVM(n) > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", section, perVM(n)))
		}
	}
	slices.Sort(parts)
	t.Logf("%d VMs: %d messages/s, %d bytes/s a VM sent and received (most %d, budget %d): HTTP %d, %s",
		len(f.vms), perVM(messages), perVM(total), maxWire/seconds, trafficBudget, perVM(total-bodies), strings.Join(parts, ", "))
	t.Logf("%d VMs: age p50 %v p99.9 %v max %v; CPU %.2f %% of a core a VM, lock checks and test network included",
		len(f.vms), ages[len(ages)/2], ages[len(ages)*999/1000], ages[len(ages)-1],
		100*used.Seconds()/float64(seconds)/float64(len(f.vms)))
	if maxWire/seconds > trafficBudget {
		t.Errorf("a VM sent and received more than trafficBudget; the figures are logged above")
	}
	if ages[len(ages)-1] > membership.SilentAfter {
		t.Errorf("a VM was not heard of for longer than membership.SilentAfter; the ages are logged above")
	}
}
