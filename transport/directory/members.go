package directory

import (
	"context"
	"maps"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// join announces this VM and reads the list of members now and then.
func (d *Directory) join(ctx context.Context) {
	announced, tried := false, false
	backoff := minBackoff
	for ctx.Err() == nil {
		if announced && !d.fleet.View().Watches("members") {
			sleep(ctx, membersInterval)
			continue
		}
		err := d.meet(ctx, &announced)
		if !tried {
			tried = true
			close(d.met)
		}
		if err != nil {
			pause(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		pause(ctx, membersInterval)
	}
}

func (d *Directory) meet(ctx context.Context, announced *bool) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if !*announced {
		begin := clock.Now()
		if err := d.observe(callAnnounce, "members", begin, d.source.Announce(ctx, d.self)); err != nil {
			return err
		}
	}
	// Of two VMs that start together, the one that lists later must see the
	// other, so the first list is fresh.
	begin := clock.Now()
	members, err := d.source.Members(ctx, !*announced)
	if d.observe(callMembers, "members", begin, err) != nil {
		return err
	}
	*announced = true
	d.retire(ctx, members)
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	d.fleet.Members(addresses)
	return nil
}

// retire takes members from the list that have been missing for long.
func (d *Directory) retire(ctx context.Context, members []Member) {
	alive := make(map[string]bool)
	for _, p := range d.fleet.Peers() {
		alive[p.Address] = true
	}
	now := clock.Now()
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Address] = true
		if alive[m.Address] || m.Address == d.self.Address {
			delete(d.missing, m.Address)
			continue
		}
		since, known := d.missing[m.Address]
		switch {
		case !known:
			d.missing[m.Address] = now
		case now-since > retireAfter && 2*len(alive) >= len(members):
			err := d.observe(callRetire, "members", clock.Now(), d.source.Retire(ctx, m.Name))
			d.logger.WithFields(log.Fields{"vm": m.Name, "ok": err == nil}).Info("directory: member retired.")
		}
	}
	maps.DeleteFunc(d.missing, func(a string, _ time.Duration) bool { return !listed[a] })
}
