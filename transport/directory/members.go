package directory

import (
	"context"
	"maps"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// maintainMembership announces this VM and reads the list of members at
// intervals.
func (d *Directory) maintainMembership(ctx context.Context) {
	announced, tried := false, false
	backoff := minBackoff
	for ctx.Err() == nil {
		if announced && !d.fleet.View().Watches(string(VMs)) {
			sleep(ctx, d.membersInterval())
			announced = d.isListed()
			continue
		}
		err := d.refreshMembers(ctx, &announced)
		if !tried {
			tried = true
			close(d.membersAttempted)
		}
		if err != nil {
			sleepWithJitter(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		sleepWithJitter(ctx, d.membersInterval())
	}
}

// membersInterval returns the time until the list of members is read again. While a
// large fleet starts, the first lists are incomplete, and links to too many VMs follow
// from them.
func (d *Directory) membersInterval() time.Duration {
	if clock.Now()-d.started < startPeriod && d.fleet.View().Large {
		return startMembersInterval
	}
	return regularMembersInterval
}

// isListed reports whether this VM is in the list of members. Others may have removed it
// while it could not be reached.
func (d *Directory) isListed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, listed := d.docs[VMs].Entries[d.self.Name]
	return listed || d.mayBeUnlisted(d.docs[VMs].Revision.Era)
}

func (d *Directory) refreshMembers(ctx context.Context, announced *bool) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if !*announced {
		begin := clock.Now()
		// The era of the store is known when this VM next finds itself missing, but may have
		// risen before the call. A second announcement does no harm.
		era := d.StoreEra()
		if err := d.recordCall(callAnnounce, "members", begin, d.source.Announce(ctx, d.self)); err != nil {
			return err
		}
		d.recordAnnouncement(era)
	}
	// The first list must not come from a cache: if two VMs start together, the
	// one that lists later has to see the other.
	begin := clock.Now()
	fresh := !*announced || clock.Now()-d.started < startPeriod
	batch, err := d.source.Members(ctx, fresh)
	if d.recordCall(callMembers, "members", begin, err) != nil {
		return err
	}
	if err := d.checkEra(batch.Era); err != nil {
		return err
	}
	*announced = d.lists(batch, fresh)
	d.retireMissing(ctx, batch.Entries)
	if d.membersChanged(batch) {
		d.applyBatch(VMs, batch, true)
	}
	return nil
}

// membersChanged reports whether the list differs from the known one. Lists that only
// have a newer revision are not passed on.
func (d *Directory) membersChanged(batch Batch) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.docs[VMs]
	if batch.Era != known.Revision.Era {
		return true
	}
	if len(known.Entries) != len(batch.Entries) {
		return true
	}
	for _, e := range batch.Entries {
		old, listed := known.Entries[e.Name]
		if !listed || (e.Member == nil) != (old.Member == nil) || e.Member != nil && *e.Member != *old.Member {
			return true
		}
	}
	return false
}

// retireMissing removes members that have been missing for more than
// retireAfter from the list, while at least half of the members are linked with this VM.
func (d *Directory) retireMissing(ctx context.Context, entries []Entry) {
	alive := d.fleet.Connected()
	now := clock.Now()
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.Member == nil {
			continue
		}
		address := e.Member.Address
		listed[address] = true
		if alive[address] || address == d.self.Address {
			delete(d.missingSince, address)
			continue
		}
		since, known := d.missingSince[address]
		switch {
		case !known:
			d.missingSince[address] = now
		case now-since > retireAfter && 2*len(alive) >= len(entries):
			err := d.recordCall(callRetire, "members", clock.Now(), d.source.Retire(ctx, e.Name))
			d.logger.WithFields(log.Fields{"vm": e.Name, "ok": err == nil}).Info("directory: member retired.")
		}
	}
	maps.DeleteFunc(d.missingSince, func(a string, _ time.Duration) bool { return !listed[a] })
}
