package bench

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
)

const (
	// faultInterval is the time from the start of one fault to the next.
	faultInterval = 2500 * time.Millisecond
	// faultDuration is how long the failed primary stays unavailable.
	faultDuration = 1500 * time.Millisecond
)

// fault is an injected failure of a group's primary.
type fault struct {
	group string
	kind  string // "stop", "pause" or "cut off"
	at    time.Time
}

// faultLog records the failures of primaries that a run injected.
type faultLog struct{ faults []fault }

// failPrimaries lets the primaries of the groups fail in turn. They alternately
// crash and stop answering without closing their connections.
func failPrimaries(ctx context.Context, r *run) error {
	groups := r.profile.Groups
	for n := 0; ; n++ {
		if !sleepUntil(ctx, time.Now().Add(faultInterval-faultDuration)) {
			return nil
		}
		deadline, ok := ctx.Deadline()
		if ok && time.Until(deadline) < faultDuration {
			return nil
		}
		group := groups[n%len(groups)]
		primary := r.fleet.Groups[group].Primary()
		if primary == nil {
			continue
		}
		if err := r.failPrimary(ctx, n, group, primary); err != nil {
			return err
		}
	}
}

// failPrimary stops the primary if n is even and pauses it if n is odd, and brings
// it back after faultDuration.
func (r *run) failPrimary(ctx context.Context, n int, group string, primary *dbgroup.Server) error {
	f := fault{group: group, kind: "stop", at: time.Now()}
	if n%2 == 1 {
		f.kind = "pause"
		primary.Pause()
		defer primary.Resume()
	} else {
		primary.Stop()
	}
	r.faultLog.faults = append(r.faultLog.faults, f)
	sleepUntil(ctx, f.at.Add(faultDuration))
	if f.kind == "stop" {
		return primary.Start()
	}
	return nil
}

// sleepUntil waits until the given time. It reports false if ctx ended before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// FailoverGap summarises the failover gaps of a run. A gap is the time from the
// failure of a primary to the acknowledgement of the first write of its group that
// was sent after the failure.
type FailoverGap struct {
	Failovers int // injected failures of primaries
	Unended   int // failures without an acknowledged write until the end of the run
	P50       time.Duration
	P99       time.Duration
	Worst     time.Duration
	ByKind    map[string]time.Duration // worst gap by kind of fault
}

// failoverGap computes the gaps from the acknowledged writes. It returns nil if no
// primary failed.
func (l *faultLog) failoverGap(h *writeHistory) *FailoverGap {
	if len(l.faults) == 0 {
		return nil
	}
	m := &FailoverGap{Failovers: len(l.faults), ByKind: make(map[string]time.Duration)}
	var gaps []time.Duration
	for _, f := range l.faults {
		first, found := h.firstAcknowledgement(f.group, f.at)
		if !found {
			m.Unended++
			continue
		}
		gap := first.Sub(f.at)
		gaps = append(gaps, gap)
		m.ByKind[f.kind] = max(m.ByKind[f.kind], gap)
	}
	slices.Sort(gaps)
	m.P50, m.P99, m.Worst = quantile(gaps, 0.5), quantile(gaps, 0.99), quantile(gaps, 1)
	return m
}

// quantile returns the smallest value that at least the share q of the sorted
// values does not exceed, or zero without values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
