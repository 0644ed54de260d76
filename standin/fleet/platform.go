package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/protocol/ticketfile"
	"github.com/chestnutdyke/chestnutdyke/standin/store"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// storePort is the port of the store's API.
const storePort = 8080

// readyPollInterval is the time between two checks of WaitReady.
const readyPollInterval = 50 * time.Millisecond

// StoreAddress returns the address of the store.
func StoreAddress() string { return address(storeHost, storePort) }

// startStore starts the store and writes the profile's configuration to it.
func (f *Fleet) startStore() error {
	f.Store = store.New(store.Options{})
	server, err := f.Store.Serve(f.Host(storeHost, storeZone), StoreAddress())
	if err != nil {
		return eris.Wrap(err, "start the store")
	}
	f.storeServer = server
	f.config = f.Profile.Config(1)
	return f.publish()
}

// publish writes the current configuration and its ticket to the store.
func (f *Fleet) publish() error {
	value, err := ticketfile.EncodeObject(&ticket.Object{
		Config: f.config,
		Records: []ticket.Record{{
			ID:       f.config.Ticket,
			Operator: "fleet",
			Reason:   "profile",
			Time:     time.Now(),
		}},
	})
	if err != nil {
		return err
	}
	f.Store.Set(storeapi.ConfigObject, value)
	return nil
}

// Change applies change to a copy of the configuration, and writes the copy to the
// store under the next ticket number.
func (f *Fleet) Change(change func(c *state.Config)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	encoded, err := ticketfile.EncodeConfig(f.config)
	if err != nil {
		return err
	}
	next, err := ticketfile.DecodeConfig(encoded)
	if err != nil {
		return err
	}
	change(next)
	next.Ticket = state.TicketID{Number: f.config.Ticket.Number + 1, Digest: ticketDigest(f.config.Ticket.Number + 1)}
	f.config = next
	return f.publish()
}

// SetDataCentre changes the service state of a data centre with a ticket.
func (f *Fleet) SetDataCentre(dc string, s state.ServiceState) error {
	return f.Change(func(c *state.Config) { c.DataCentres[dc].State = s })
}

// seeds returns the first VM of each data centre, as the peers that VMs contact
// when they start.
func (f *Fleet) seeds() []membership.Peer {
	var seeds []membership.Peer
	for i := range min(len(f.Profile.DataCentres), f.Profile.VMs) {
		seeds = append(seeds, membership.Peer{
			Name:       VMName(i),
			DataCentre: f.Profile.DataCentreOf(i),
			Address:    address(vmHost(i), peerPort),
		})
	}
	return seeds
}

// WaitReady waits until all running VMs are ready. If ctx ends before, the error names
// one that is not.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		name := f.unreadyVM()
		if name == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%s is not ready", name)
		case <-ticker.C:
		}
	}
}

// unreadyVM returns the name of a running VM that is not ready, or "" if all are.
func (f *Fleet) unreadyVM() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range f.vms {
		if !r.vm.Ready() {
			return VMName(i)
		}
	}
	return ""
}
