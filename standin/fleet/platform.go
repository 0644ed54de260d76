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

// storePort is the port of the store.
const storePort = 8080

// readyPoll is how often WaitReady looks at the VMs.
const readyPoll = 50 * time.Millisecond

// StoreAddress is the address of the store.
func StoreAddress() string { return address(storeHost, storePort) }

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

// publish writes the configuration to the store.
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

// Change makes the next ticket: change gets a copy of the configuration, which
// is then written to the store.
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
	next.Ticket = state.TicketID{Number: f.config.Ticket.Number + 1, Digest: digest(f.config.Ticket.Number + 1)}
	f.config = next
	return f.publish()
}

// SetDataCentre changes the state of a data centre by a ticket.
func (f *Fleet) SetDataCentre(dc string, s state.ServiceState) error {
	return f.Change(func(c *state.Config) { c.DataCentres[dc].State = s })
}

// seeds are the first VMs of all data centres.
func (f *Fleet) seeds() []membership.Partner {
	var seeds []membership.Partner
	for i := range min(len(f.Profile.DataCentres), f.Profile.VMs) {
		seeds = append(seeds, membership.Partner{
			Name:       VMName(i),
			DataCentre: f.Profile.DataCentreOf(i),
			Address:    address(vmHost(i), peerPort),
		})
	}
	return seeds
}

// WaitReady waits until all running VMs take work.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		waiting := f.notReady()
		if waiting == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%s does not take work", waiting)
		case <-ticker.C:
		}
	}
}

// notReady returns the name of a VM that does not take work, or an empty text.
func (f *Fleet) notReady() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range f.vms {
		if !r.vm.Ready() {
			return VMName(i)
		}
	}
	return ""
}
