package managed

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/usage"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
)

// usageSettings are the users' bounds for usage reports.
var usageSettings = usage.Settings{Window: 5 * time.Second, Delay: 10 * time.Second, Lease: 3 * time.Second, CallsPerSecond: 10}

// usageError is the permitted error of a report for each customer.
const usageError = 0.05

// usageRun is a deployment under load that reports its usage.
type usageRun struct {
	*Deployment
	t *testing.T
	l *load
	// imprecise are the windows whose counts are not checked.
	imprecise map[int64]bool
	// unreported is a window up to which windows need not be reported, if they have not
	// been when it is set, but not with wrong counts.
	unreported int64
}

// underUsageLoad runs a test on a deployment that reports usage, and then checks that all
// windows since its start were reported in time, with counts that are
// correct, and in accordance with the platform's rules.
func underUsageLoad(t *testing.T, change func(*Options), test func(u *usageRun)) {
	t.Helper()
	o := smallDeployment
	o.Usage = usageSettings
	if change != nil {
		change(&o)
	}
	inDeployment(t, o, func(d *Deployment) {
		begin := time.Now()
		u := &usageRun{Deployment: d, t: t, l: startLoad(t, d), imprecise: make(map[int64]bool)}
		test(u)
		end := time.Now()
		u.l.finish()
		time.Sleep(usageSettings.Delay + time.Second)
		u.checkRules()
		u.checkCounts(windowOf(begin.Add(-2*time.Second)), windowOf(end))
	})
}

// windowOf returns the number of the window that contains t.
func windowOf(t time.Time) int64 { return usageSettings.WindowAt(usage.Time(t.UnixNano())) }

// operations returns the operations that servers ran, by window and customer.
func (u *usageRun) operations() map[int64]usage.Counts {
	all := make(map[int64]usage.Counts)
	for _, g := range u.Groups {
		seen := make(map[int]bool)
		for _, run := range g.Runs() {
			if run.Transaction != 0 && seen[run.Transaction] {
				continue
			}
			seen[run.Transaction] = true
			w := windowOf(run.At)
			if all[w] == nil {
				all[w] = make(usage.Counts)
			}
			all[w][run.Customer]++
		}
	}
	return all
}

// checkRules checks the rules of the platform for calls.
func (u *usageRun) checkRules() {
	u.t.Helper()
	for _, v := range u.Store.UsageViolations() {
		u.t.Error(v)
	}
	acts := u.Store.UsageCalls()
	for i, first := range acts {
		other := false
		for _, c := range acts[i:] {
			if other = other || c.Holder != first.Holder; other && c.Holder == first.Holder && c.At.Sub(first.At) < usageSettings.Lease {
				u.t.Errorf("%s acted again %v after another VM took its place", c.Holder, c.At.Sub(first.At))
			}
		}
	}
}

// checkCounts checks the reports of the windows from first to the one before end.
func (u *usageRun) checkCounts(first, end int64) {
	u.t.Helper()
	actual := u.operations()
	reports := make(map[int64]UsageCall)
	for _, c := range u.Store.UsageCalls() {
		if _, known := reports[c.Window]; !known && !c.Refused {
			reports[c.Window] = c
		}
	}
	for w := first; w < end; w++ {
		r, reported := reports[w]
		if !reported && w <= u.unreported {
			continue
		}
		if !reported {
			u.t.Errorf("window %d was not reported", w)
			continue
		}
		if late := usage.Time(r.At.UnixNano()).Sub(usageSettings.End(w)); late > usageSettings.Delay {
			u.t.Errorf("window %d was reported %v after its end", w, late)
		}
		if u.imprecise[w] {
			continue
		}
		for n := range u.Customers {
			customer := CustomerName(n)
			want, got := float64(actual[w][customer]), float64(r.Counts[customer])
			if math.Abs(got-want) > usageError*want {
				u.t.Errorf("window %d: %v operations of %s were reported, %v began", w, got, customer, want)
			}
		}
	}
}

// Guards against operations that are not reported, or are reported twice or late.
func TestUsageIsReported(t *testing.T) {
	underUsageLoad(t, nil, func(u *usageRun) { time.Sleep(31 * time.Second) })
}

// Guards against counts in the wrong window when the time of day jumps on some VMs, the one
// that reports among them, and jumps back.
func TestUsageWithJumpsOfTheTimeOfDay(t *testing.T) {
	var jump atomic.Int64
	timeOfDay := func(vm string) time.Time {
		if vm == "vm-0-0" || vm == "vm-1-0" {
			return time.Now().Add(time.Duration(jump.Load()))
		}
		return time.Now()
	}
	underUsageLoad(t, func(o *Options) { o.TimeOfDay = timeOfDay }, func(u *usageRun) {
		for _, by := range []time.Duration{4 * time.Second, 0, -3 * time.Second, 0} {
			jump.Store(int64(by))
			time.Sleep(8 * time.Second)
		}
	})
}

// Guards against a window that is lost or reported again with other counts when the VM that
// reports is killed at any moment, and starts again.
func TestUsageHolderIsKilled(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond, 3100 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			underUsageLoad(t, nil, func(u *usageRun) {
				time.Sleep(12 * time.Second)
				time.Sleep(time.Duration(usageSettings.End(windowOf(time.Now()))-usage.Time(time.Now().UnixNano())) + delay)
				vm := u.VM(u.Store.UsageRecord().Holder)
				vm.Kill()
				time.Sleep(2 * time.Second)
				u.StartVM(vm.Name, vm.Zone)
				time.Sleep(18 * time.Second)
			})
		})
	}
}

// Guards against counts that are lost with a VM that is stopped as planned.
func TestUsageOfVMsThatLeave(t *testing.T) {
	underUsageLoad(t, nil, func(u *usageRun) {
		time.Sleep(6 * time.Second)
		for _, name := range []string{"vm-1-1", u.Store.UsageRecord().Holder} {
			vm := u.VM(name)
			vm.Terminate()
			u.StartVM(vm.Name, vm.Zone)
			time.Sleep(9 * time.Second)
		}
	})
}

// Guards against two VMs that report while the holder is cut off from the others, and
// against a holder that goes on when the partition ends.
func TestUsageHolderIsCutOff(t *testing.T) {
	for _, storeToo := range []bool{false, true} {
		t.Run(fmt.Sprint(storeToo), func(t *testing.T) {
			underUsageLoad(t, nil, func(u *usageRun) {
				time.Sleep(9 * time.Second)
				holder := u.Store.UsageRecord().Holder
				var others []string
				for name := range u.VMs {
					if name != holder {
						others = append(others, name)
					}
				}
				slices.Sort(others)
				if storeToo {
					u.Store.SetOutage(holder, Unresponsive)
				}
				partition := u.Net.Partition(memnet.Hosts(holder), memnet.Hosts(others...))
				cut := windowOf(time.Now())
				time.Sleep(8 * time.Second)
				partition.Heal()
				u.Store.SetOutage(holder, Available)
				// The counts of the cut-off VM may come too late.
				for w := cut; w <= windowOf(time.Now()); w++ {
					u.imprecise[w] = true
				}
				time.Sleep(15 * time.Second)
			})
		})
	}
}

// Guards against a report that is sent again with other counts because its call was not
// answered, and was carried out seconds later.
func TestUsageCallsWithoutAnswer(t *testing.T) {
	underUsageLoad(t, nil, func(u *usageRun) {
		time.Sleep(6 * time.Second)
		u.Store.LoseUsageCalls(2, 4*time.Second)
		time.Sleep(10 * time.Second)
		u.Store.LoseUsageCalls(1, 6*time.Second)
		time.Sleep(10 * time.Second)
	})
}

// Guards against a second, different report of a window after the store came back from an
// older copy, or without the record, while its holder goes on or is killed.
func TestUsageRecordIsLost(t *testing.T) {
	for _, killed := range []bool{false, true} {
		for _, missing := range []bool{false, true} {
			t.Run(fmt.Sprintf("killed=%v missing=%v", killed, missing), func(t *testing.T) {
				underUsageLoad(t, nil, func(u *usageRun) {
					time.Sleep(16 * time.Second)
					holder := u.VM(u.Store.UsageRecord().Holder)
					highest := u.Store.UsageRecord().Token
					if missing {
						u.Store.SetUsageRecord(usage.Record{})
						u.Store.Restore(0)
					} else {
						u.Store.Restore(11 * time.Second)
					}
					if killed {
						holder.Kill()
						// The windows that may have been reported are skipped.
						u.unreported = windowOf(time.Now())
					}
					time.Sleep(16 * time.Second)
					if r := u.Store.UsageRecord(); r.Era != 1 || r.Token <= highest {
						u.t.Errorf("the record has the era %d and the token %d, after %d in the era before", r.Era, r.Token, highest)
					}
				})
			})
		}
	}
}

// Guards against reports that are sent without a record while the store is away, and
// against windows that are lost by then.
func TestUsageWithoutStore(t *testing.T) {
	underUsageLoad(t, nil, func(u *usageRun) {
		time.Sleep(6 * time.Second)
		u.Store.SetOutage("", Unavailable)
		before := len(u.Store.UsageCalls())
		time.Sleep(6 * time.Second)
		if now := len(u.Store.UsageCalls()); now > before+1 {
			u.t.Errorf("%d reports were sent without a record", now-before)
		}
		u.Store.SetOutage("", Available)
		time.Sleep(12 * time.Second)
	})
}

// Guards against a report with a part of the operations only, after all VMs have started
// again and have lost their counts.
func TestUsageAfterRestartOfAllVMs(t *testing.T) {
	underUsageLoad(t, nil, func(u *usageRun) {
		time.Sleep(12 * time.Second)
		for _, name := range slices.Sorted(maps.Keys(u.VMs)) {
			u.VM(name).Kill()
		}
		time.Sleep(time.Second)
		for _, name := range slices.Sorted(maps.Keys(u.VMs)) {
			u.StartVM(name, u.VM(name).Zone)
		}
		u.unreported = windowOf(time.Now())
		time.Sleep(20 * time.Second)
	})
}

// Guards against counts of a VM that was silent for a while and are reported without it.
func TestUsageOfSilentVMs(t *testing.T) {
	underUsageLoad(t, nil, func(u *usageRun) {
		time.Sleep(6 * time.Second)
		for _, vm := range []string{"vm-1-0", u.Store.UsageRecord().Holder} {
			partition := u.Net.Partition(memnet.Hosts(vm), memnet.Hosts(otherHosts(u.Deployment, vm)...))
			u.Store.SetOutage(vm, Unresponsive)
			time.Sleep(4 * time.Second)
			partition.Heal()
			u.Store.SetOutage(vm, Available)
			time.Sleep(11 * time.Second)
		}
	})
}
