package fleettest

import (
	"context"
	"net"

	"github.com/jackc/pgx/v5"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// storeNumber stands for the store among the numbers of VMs.
const storeNumber = -1

// vmHosts returns the hosts of VMs and of the store.
func (w *world) vmHosts(vms ...int) []string {
	w.t.Helper()
	var hosts []string
	for _, vm := range vms {
		address := fleet.StoreAddress()
		if vm != storeNumber {
			address = w.options[fleet.VMName(vm)].ClientAddress
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			w.t.Fatal(err)
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// second is another process of a VM that still runs, on a host of its own.
type second struct {
	world   *world
	vm      *chestnutdyke.VM
	address string
	cancel  context.CancelFunc
	done    chan error
}

// startSecond starts another process under the name of a VM.
func (w *world) startSecond(vm int, host string) *second {
	w.t.Helper()
	o := w.options[fleet.VMName(vm)]
	o.Network = tappedNetwork{Network: w.fleet.Host(host, o.DataCentre), tap: w.tap, vm: o.Name + " second"}
	o.ClientAddress, o.PeerAddress, o.AdminAddress = host+":5432", host+":7432", host+":9432"
	o.Advertise = ""
	o.FirstProcess = false
	v, err := chestnutdyke.New(o)
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(background)
	s := &second{world: w, vm: v, address: o.ClientAddress, cancel: cancel, done: make(chan error, 1)}
	go func() { s.done <- v.Run(ctx) }()
	return s
}

func (s *second) connect(ctx context.Context, customer, route string, vm int, token string) (*pgx.Conn, error) {
	cfg, err := s.world.fleet.ClientConfig(customer, route, vm, token)
	if err != nil {
		return nil, err
	}
	client := s.world.fleet.Host("127.101.0.1", "clients")
	cfg.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return client.Dial(ctx, s.address)
	}
	return pgx.ConnectConfig(ctx, cfg)
}

func (s *second) stop() {
	s.cancel()
	if err := <-s.done; err != nil {
		s.world.t.Error(err)
	}
}
