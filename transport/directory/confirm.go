package directory

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// confirm records that the store has responded to a call for the kind that was sent at
// sentAt. The documents contain all changes that were made before.
func (d *Directory) confirm(kind Kind, sentAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmedAt[kind] = max(d.confirmedAt[kind], sentAt)
	if kind == Configuration {
		d.configConfirmed = true
	}
}

// needsConfirmation reports whether the data centres out of service have not been confirmed
// for long, which is so when the VM begins to watch them without contact to the previous
// watchers. A list confirms them at once, which dates the next change.
func (d *Directory) needsConfirmation() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return clock.Now()-d.confirmedAt[OutOfService] > 2*(d.bounds.watchWait(OutOfService)+watchMargin)
}

// Confirmations returns, for other VMs, how long ago it was known which servers and data
// centres are to get no new work.
func (d *Directory) Confirmations() fleetwire.StoreConfirmations {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	of := func(kind Kind) fleetwire.StoreConfirmation {
		at := d.confirmedAt[kind]
		if at == 0 {
			return fleetwire.StoreConfirmation{}
		}
		return fleetwire.StoreConfirmation{Revision: d.docs[kind].Revision, Age: now - at}
	}
	return fleetwire.StoreConfirmations{Servers: of(Servers), OutOfService: of(OutOfService)}
}

// RecordConfirmations records what another VM responded to a request that was sent at
// sentAt. A confirmation holds for this VM if its document is not older than that of the
// other VM: it then has all changes that the other one had.
func (d *Directory) RecordConfirmations(c fleetwire.StoreConfirmations, sentAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for kind, confirmation := range map[Kind]fleetwire.StoreConfirmation{Servers: c.Servers, OutOfService: c.OutOfService} {
		if confirmation.Revision > 0 && confirmation.Age >= 0 && confirmation.Revision <= d.docs[kind].Revision {
			d.confirmedAt[kind] = max(d.confirmedAt[kind], sentAt-confirmation.Age)
		}
	}
}
