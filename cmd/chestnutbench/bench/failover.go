package bench

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
)

const (
	// faultInterval is the time from one fault to the next.
	faultInterval = 2500 * time.Millisecond
	// faultLength is how long the failed primary stays away.
	faultLength = 1500 * time.Millisecond
)

// fault is the failure of a group's primary.
type fault struct {
	group string
	kind  string
	at    time.Time
}

// failoverGaps are the failures of primaries in a run.
type failoverGaps struct{ faults []fault }

// failPrimaries makes the primaries of the groups fail in turn: one crashes, the
// next one stops answering without closing its connections.
func failPrimaries(ctx context.Context, r *run) error {
	groups := r.profile.Groups
	for n := 0; ; n++ {
		if !sleepUntil(ctx, time.Now().Add(faultInterval-faultLength)) {
			return nil
		}
		deadline, ok := ctx.Deadline()
		if ok && time.Until(deadline) < faultLength {
			return nil
		}
		name := groups[n%len(groups)]
		primary := r.fleet.Groups[name].Primary()
		if primary == nil {
			continue
		}
		if err := r.failOnce(ctx, n, name, primary); err != nil {
			return err
		}
	}
}

func (r *run) failOnce(ctx context.Context, n int, group string, primary *dbgroup.Server) error {
	f := fault{group: group, kind: "stop", at: time.Now()}
	if n%2 == 1 {
		f.kind = "pause"
		primary.Pause()
		defer primary.Resume()
	} else {
		primary.Stop()
	}
	r.gaps.faults = append(r.gaps.faults, f)
	sleepUntil(ctx, f.at.Add(faultLength))
	if f.kind == "stop" {
		return primary.Start()
	}
	return nil
}

// sleepUntil reports false if ctx ended before.
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

// FailoverGap is the time from the failures of primaries to the first write
// that was sent and acknowledged after them.
type FailoverGap struct {
	Failovers int
	Unended   int // no write was acknowledged until the end of the run
	P50       time.Duration
	P99       time.Duration
	Worst     time.Duration
	ByKind    map[string]time.Duration // worst
}

// measure returns nil if no primary failed.
func (g *failoverGaps) measure(l *ledger) *FailoverGap {
	if len(g.faults) == 0 {
		return nil
	}
	m := &FailoverGap{Failovers: len(g.faults), ByKind: make(map[string]time.Duration)}
	var gaps []time.Duration
	for _, f := range g.faults {
		first, found := l.firstAck(f.group, f.at)
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

// quantile returns the smallest value that is not exceeded by the given share
// of the sorted values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
