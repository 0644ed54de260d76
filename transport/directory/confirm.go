package directory

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// confirmFrom records a response of the store, see confirm, unless the document is of
// another era.
func (d *Directory) confirmFrom(kind Kind, era uint64, sentAt time.Duration) {
	if d.revision(kind).Era == era {
		d.confirm(kind, sentAt)
	}
}

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
		return fleetwire.StoreConfirmation{Revision: d.docs[kind].Revision.Number, Era: d.docs[kind].Revision.Era, Age: now - at}
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
		own := d.docs[kind].Revision
		confirmed := state.Revision{Era: own.Era, Number: confirmation.Revision}
		if c.Eras {
			confirmed.Era = confirmation.Era
		}
		// The document of a later era may lack changes of an earlier one.
		if confirmed.Number > 0 && confirmation.Age >= 0 && confirmed.Era == own.Era && !confirmed.After(own) {
			d.confirmedAt[kind] = max(d.confirmedAt[kind], sentAt-confirmation.Age)
		}
	}
}
