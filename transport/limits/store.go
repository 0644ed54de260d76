package limits

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/transport/store"
)

// LeaseStore is the part of the store's client that is used for leases.
type LeaseStore interface {
	Get(ctx context.Context, name string) (object storeapi.Object, found bool, err error)
	Put(ctx context.Context, name string, put storeapi.Put) store.PutResult
}

// leaseObject is the stored value of a VM's lease object.
type leaseObject struct {
	Incarnation uint64 `json:"incarnation"`
}

// confirmWithStore requests confirmations from the store while it is one of the
// voters.
func (l *Limits) confirmWithStore(ctx context.Context) {
	ticker := time.NewTicker(lease.QueryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !lease.VotersOf(l.Tables.Config.Current(), l.Tables.Self.Name).Store {
			continue
		}
		if err := l.queryStore(ctx); err != nil && ctx.Err() == nil {
			l.Logger.WithError(err).Debug("share: the store did not confirm this process.")
		}
	}
}

// queryStore sends one lease query to the store. If the object contains an
// earlier incarnation, it is updated first and the next query is confirmed.
func (l *Limits) queryStore(ctx context.Context) error {
	q, ok := lease.QueryTo(l.Tables, lease.Store, time.Now())
	if !ok {
		return nil
	}
	name := "lease/" + l.Tables.Self.Name
	object, found, err := l.Store.Get(ctx, name)
	if err != nil {
		return err
	}
	var stored leaseObject
	if found {
		if err := json.Unmarshal(object.Value, &stored); err != nil {
			return eris.Wrapf(err, "object %s", name)
		}
	}
	answer, write := lease.StoreAnswer(q, stored.Incarnation)
	if write {
		return l.writeLease(ctx, name, object.Version)
	}
	lease.Receive(l.Tables, lease.Store, answer, time.Now())
	return nil
}

func (l *Limits) writeLease(ctx context.Context, name string, version uint64) error {
	value, err := json.Marshal(leaseObject{Incarnation: l.Tables.Self.Incarnation})
	if err != nil {
		return eris.Wrapf(err, "object %s", name)
	}
	return l.Store.Put(ctx, name, storeapi.Put{Version: version, Value: value}).Err
}
