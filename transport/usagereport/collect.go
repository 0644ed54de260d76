package usagereport

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/usage"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

const (
	// collectSpacing times the number of cores is the interval at which the holder asks each
	// core for its counts, within the limits below. A short interval loses fewer counts with
	// a VM that is killed; a fleet of up to 25 cores sends at most 25 answers a second.
	collectSpacing     = 40 * time.Millisecond
	minCollectInterval = 250 * time.Millisecond
	maxCollectInterval = time.Second
	// maxClockAge is how long the clock readings of a VM are used.
	maxClockAge = 5 * time.Second
	// maxRoundTrip limits the error of clock readings, which is at most half of it.
	maxRoundTrip = 200 * time.Millisecond
	// departedAfter is the time without an answer after which a VM may be gone, and its
	// counts are passed on.
	departedAfter = 3 * time.Second
	// takeOverPeriod is how long a VM that was selected asks the others for the counts of
	// VMs that are gone. The former holder may have them.
	takeOverPeriod = 5 * time.Second
	// maxMissedRounds is the number of intervals without a round of requests after which
	// the answers of the VMs are considered missing.
	maxMissedRounds = 2
	// handOverTimeout limits the wait for the answer to the counts of a VM that leaves.
	handOverTimeout = 300 * time.Millisecond
)

func (r *Reporter) runCollect(ctx context.Context) error {
	timer := time.NewTimer(r.collectInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		timer.Reset(r.collectInterval())
		now := clock.Now()
		gap := r.missedRounds(now)
		r.lastRound.Store(int64(now))
		view := r.Links.View()
		coordinator := view.FailoverCoordinator()
		switch {
		case coordinator != r.Name:
			r.collecting.Store(0)
		case gap || r.collecting.Load() == 0:
			r.collecting.Store(int64(now))
		}
		switch {
		case coordinator == r.Name:
			r.collectAll(view, r.collectingFor() < takeOverPeriod)
		case !view.SelfIsCore():
			// The coordinator has no link to an edge. An edge runs statements itself only
			// while it reaches no core.
			if r.counter.Changes() != r.pushed.Load() {
				r.push(coordinator, func() {})
			}
		case nextCoordinator(view, coordinator) == r.Name:
			r.collectDeparted(coordinator)
		}
		r.expire()
	}
}

func (r *Reporter) collectInterval() time.Duration {
	return min(max(time.Duration(r.Links.View().Members)*collectSpacing, minCollectInterval), maxCollectInterval)
}

// nextCoordinator returns the VM that is selected if the present coordinator is lost.
func nextCoordinator(view *placement.View, coordinator string) string {
	next := *view
	next.VMs = slices.DeleteFunc(slices.Clone(view.VMs), func(vm placement.VM) bool { return vm.Name == coordinator && vm.Name != view.Self })
	return next.FailoverCoordinator()
}

func (r *Reporter) expire() {
	now := clock.Now()
	r.counter.Expire(now)
	if trueNow, known := r.trueTime(); known {
		r.collection.Expire(trueNow)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, p := range r.peers {
		if now-p.at > usage.Retention {
			delete(r.peers, s)
		}
	}
	maps.DeleteFunc(r.releases, func(_ string, latest release) bool { return now-latest.at > usage.Retention })
}

// CountOperation records that an operation of the customer began to run at a server at the
// given time, or, with -1, that the server refused it without running it.
func (r *Reporter) CountOperation(customer string, at time.Duration, n int64) {
	r.counter.Add(customer, at, n)
}

// collectAll estimates the true time and asks all VMs for their counts, with departed also
// for those of VMs that are gone.
func (r *Reporter) collectAll(view *placement.View, departed bool) {
	r.estimateTime(view)
	offset, known := r.counter.Offset()
	now := clock.Now()
	if known {
		own := r.ownCounts(0, 0)
		r.collection.Record(own, usage.Time(now+offset))
	}
	for _, p := range r.Links.Peers() {
		if !p.Usage {
			continue
		}
		source := usage.Source{VM: p.Name, Run: p.Incarnation}
		request := fleetwire.UsageRequest{
			Token: r.heldToken.Load(), Since: r.firstKept(), Run: source.Run, Seen: r.collection.Changes(source), Departed: departed,
		}
		if other, ok := r.peer(source); ok && known && request.Token != 0 {
			request.Offset, request.HasOffset = offset+other.offset, true
		}
		r.ask(p.Name, &request)
	}
}

// firstKept returns the earliest window that VMs keep.
func (r *Reporter) firstKept() int64 {
	now, _ := r.trueTime()
	return r.Settings.WindowAt(now.Add(-usage.Retention))
}

// collectDeparted asks the coordinator for the counts of VMs that are gone, so that they
// survive its loss.
func (r *Reporter) collectDeparted(coordinator string) {
	for _, p := range r.Links.Peers() {
		if p.Name == coordinator && p.Usage {
			source := usage.Source{VM: p.Name, Run: p.Incarnation}
			r.ask(p.Name, &fleetwire.UsageRequest{Since: r.firstKept(), Run: source.Run, Seen: r.collection.Changes(source), Departed: true})
		}
	}
}

// ask sends a request to the VM and records its answer.
func (r *Reporter) ask(vm string, request *fleetwire.UsageRequest) {
	sentAt := clock.Now()
	r.Links.Call(vm, fleetwire.KindUsageRequest, request.Append(nil), func(f fleetwire.Frame, ok bool) {
		if !ok {
			return
		}
		reply, err := fleetwire.DecodeUsageReply(f.Body)
		if err != nil || len(reply.Sources) == 0 {
			r.Logger.WithError(err).WithField("vm", vm).Error("usage: an answer cannot be decoded.")
			return
		}
		r.recordReply(&reply, sentAt, clock.Now())
	})
}

// recordReply records an answer that arrived at the given time.
func (r *Reporter) recordReply(reply *fleetwire.UsageReply, sentAt, arrivedAt time.Duration) {
	own := reply.Sources[0]
	if arrivedAt-sentAt <= maxRoundTrip {
		middle := sentAt + (arrivedAt-sentAt)/2
		r.mu.Lock()
		r.peers[own.Source] = peerClock{at: arrivedAt, offset: middle - reply.Clock, timeOfDay: time.Duration(reply.TimeOfDay) - middle}
		r.mu.Unlock()
	}
	if reply.Released {
		r.mu.Lock()
		r.releases[own.VM] = release{at: arrivedAt, token: reply.Token}
		r.mu.Unlock()
	}
	r.recordCounts(reply, sentAt)
}

// releasedBy reports whether the VM has released the duty while it knew of the token.
func (r *Reporter) releasedBy(vm string, token uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest, ok := r.releases[vm]
	return ok && latest.token >= token
}

// recordCounts records the counts in a message. Those of its sender were current at the
// given time.
func (r *Reporter) recordCounts(reply *fleetwire.UsageReply, at time.Duration) {
	r.counter.RecordToken(reply.Token)
	offset, known := r.counter.Offset()
	for i, s := range reply.Sources {
		answeredAt := usage.Time(0)
		if i == 0 && known && reply.Synced {
			answeredAt = usage.Time(at + offset)
		}
		if i > 0 && s.Source == (usage.Source{VM: r.Name, Run: r.Incarnation}) {
			continue
		}
		r.collection.Record(s, answeredAt)
	}
}

func (r *Reporter) peer(s usage.Source) (peerClock, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[s]
	return p, ok
}

// estimateTime estimates the true time from the times of day of the VMs that have answered
// recently.
func (r *Reporter) estimateTime(view *placement.View) {
	now := clock.Now()
	samples := []time.Duration{time.Duration(r.TimeOfDay().UnixNano()) - now}
	r.mu.Lock()
	for _, p := range r.peers {
		if now-p.at <= maxClockAge {
			samples = append(samples, p.timeOfDay)
		}
	}
	r.mu.Unlock()
	previous, known := r.counter.Offset()
	if offset, ok := usage.EstimateOffset(samples, view.Members, previous, known); ok {
		r.counter.SetOffset(r.counter.Token(), offset)
	}
}

// ownCounts returns the counts of this VM from the window on that changed after the change
// with the number seen.
func (r *Reporter) ownCounts(window int64, seen uint64) usage.SourceCounts {
	s := usage.SourceCounts{Source: usage.Source{VM: r.Name, Run: r.Incarnation}}
	known := false
	s.Windows, s.Changes, known = r.counter.Since(window, seen)
	if offset, _ := r.counter.Offset(); known {
		s.Started = usage.Time(r.started + offset)
	}
	return s
}

// message returns the counts of this VM as a message.
func (r *Reporter) message(window int64, seen uint64) fleetwire.UsageReply {
	_, synced := r.counter.Offset()
	token := r.counter.Token() // before released, which is false once this VM's next token is known
	return fleetwire.UsageReply{
		Clock: clock.Now(), TimeOfDay: usage.Time(r.TimeOfDay().UnixNano()), Token: token, Synced: synced, Released: r.released.Load(),
		Sources: []usage.SourceCounts{r.ownCounts(window, seen)},
	}
}

// Handle handles a call of another VM: a request for counts, or the counts of a VM that is
// an edge or leaves.
func (r *Reporter) Handle(kind fleetwire.Kind, body []byte, reply func(fleetwire.Kind, []byte)) error {
	if kind == fleetwire.KindUsageReply {
		pushed, err := fleetwire.DecodeUsageReply(body)
		if err != nil || len(pushed.Sources) == 0 {
			return err
		}
		now := clock.Now()
		r.recordCounts(&pushed, now)
		answer := fleetwire.UsageRequest{Token: r.heldToken.Load(), Run: pushed.Sources[0].Run, Seen: pushed.Sources[0].Changes}
		if offset, known := r.counter.Offset(); known && answer.Token != 0 {
			answer.Offset, answer.HasOffset = offset+now-pushed.Clock, true
		}
		reply(fleetwire.KindUsageRequest, answer.Append(nil))
		return nil
	}
	request, err := fleetwire.DecodeUsageRequest(body)
	if err != nil {
		return err
	}
	r.applyOffset(&request)
	if request.Run != r.Incarnation {
		request.Seen = 0
	}
	answer := r.message(request.Since, request.Seen)
	if now, known := r.trueTime(); known && request.Departed {
		answer.Sources = append(answer.Sources, r.collection.Departed(request.Since, now.Add(-departedAfter))...)
	}
	reply(fleetwire.KindUsageReply, answer.Append(nil))
	return nil
}

// applyOffset applies the offset of true time in a message of the holder.
func (r *Reporter) applyOffset(request *fleetwire.UsageRequest) {
	if request.Token == 0 || request.Run != r.Incarnation {
		return
	}
	r.counter.RecordToken(request.Token)
	if request.HasOffset {
		r.counter.SetOffset(request.Token, request.Offset)
	}
}

// push sends the counts of this VM to the coordinator and calls done once it has them, if
// it is linked.
func (r *Reporter) push(coordinator string, done func()) {
	sentAt := clock.Now()
	changes := r.counter.Changes()
	message := r.message(r.firstKept(), 0)
	for _, p := range r.Links.Peers() {
		if p.Name != coordinator || !p.Usage {
			continue
		}
		r.Links.Call(coordinator, fleetwire.KindUsageReply, message.Append(nil), func(f fleetwire.Frame, ok bool) {
			if !ok {
				return
			}
			answer, err := fleetwire.DecodeUsageRequest(f.Body)
			if err != nil {
				r.Logger.WithError(err).WithField("vm", coordinator).Error("usage: an answer cannot be decoded.")
				return
			}
			if clock.Now()-sentAt <= maxRoundTrip {
				r.applyOffset(&answer)
			}
			r.pushed.Store(changes)
			done()
		})
	}
}

// HandOver sends the counts of this VM, which leaves, to the coordinator and waits for the
// answer for a short time.
func (r *Reporter) HandOver() {
	answered := make(chan struct{}, 1)
	r.push(r.Links.View().FailoverCoordinator(), func() { answered <- struct{}{} })
	select {
	case <-answered:
	case <-time.After(handOverTimeout):
	}
}
