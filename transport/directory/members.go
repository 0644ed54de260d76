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
		if announced && !d.fleet.View().Watches("members") {
			sleep(ctx, membersInterval)
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
		sleepWithJitter(ctx, membersInterval)
	}
}

func (d *Directory) refreshMembers(ctx context.Context, announced *bool) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if !*announced {
		begin := clock.Now()
		if err := d.recordCall(callAnnounce, "members", begin, d.source.Announce(ctx, d.self)); err != nil {
			return err
		}
	}
	// The first list must not come from a cache: if two VMs start together, the
	// one that lists later has to see the other.
	begin := clock.Now()
	members, err := d.source.Members(ctx, !*announced)
	if d.recordCall(callMembers, "members", begin, err) != nil {
		return err
	}
	*announced = true
	d.retireMissing(ctx, members)
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	d.fleet.SetMembers(addresses)
	return nil
}

// retireMissing removes members that have been missing for more than
// retireAfter from the list, while at least half of the members are alive as
// peers of this VM.
func (d *Directory) retireMissing(ctx context.Context, members []Member) {
	alive := make(map[string]bool)
	for _, p := range d.fleet.Peers() {
		alive[p.Address] = true
	}
	now := clock.Now()
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Address] = true
		if alive[m.Address] || m.Address == d.self.Address {
			delete(d.missingSince, m.Address)
			continue
		}
		since, known := d.missingSince[m.Address]
		switch {
		case !known:
			d.missingSince[m.Address] = now
		case now-since > retireAfter && 2*len(alive) >= len(members):
			err := d.recordCall(callRetire, "members", clock.Now(), d.source.Retire(ctx, m.Name))
			d.logger.WithFields(log.Fields{"vm": m.Name, "ok": err == nil}).Info("directory: member retired.")
		}
	}
	maps.DeleteFunc(d.missingSince, func(a string, _ time.Duration) bool { return !listed[a] })
}
