package fleettest

import (
	"context"
	"net"

	"github.com/jackc/pgx/v5"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// storeIndex stands for the store in lists of VM indexes.
const storeIndex = -1

// vmHosts returns the hosts of VMs, and of the store for storeIndex.
func (h *harness) vmHosts(vms ...int) []string {
	h.t.Helper()
	var hosts []string
	for _, vm := range vms {
		address := fleet.StoreAddress()
		if vm != storeIndex {
			address = h.options[fleet.VMName(vm)].ClientAddress
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			h.t.Fatal(err)
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// secondProcess is another process under the name of a VM whose first process still
// runs. It has a host of its own.
type secondProcess struct {
	harness *harness
	vm      *chestnutdyke.VM
	address string
	cancel  context.CancelFunc
	done    chan error
}

// startSecondProcess starts another process under the name of a VM, on the given
// host.
func (h *harness) startSecondProcess(vm int, host string) *secondProcess {
	h.t.Helper()
	o := h.options[fleet.VMName(vm)]
	o.Network = recordingNetwork{Network: h.fleet.Host(host, o.DataCentre), recorder: h.recorder, vm: o.Name + " second"}
	o.ClientAddress, o.PeerAddress, o.AdminAddress = host+":5432", host+":7432", host+":9432"
	o.Advertise = ""
	o.FirstProcess = false
	v, err := chestnutdyke.New(o)
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(baseContext)
	s := &secondProcess{harness: h, vm: v, address: o.ClientAddress, cancel: cancel, done: make(chan error, 1)}
	go func() { s.done <- v.Run(ctx) }()
	return s
}

// connect is a connectFunc that connects to the second process, whichever VM is
// given.
func (s *secondProcess) connect(ctx context.Context, customer, route string, vm int, token string) (*pgx.Conn, error) {
	cfg, err := s.harness.fleet.ClientConfig(customer, route, vm, token)
	if err != nil {
		return nil, err
	}
	client := s.harness.fleet.Host("127.101.0.1", "clients")
	cfg.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return client.Dial(ctx, s.address)
	}
	return pgx.ConnectConfig(ctx, cfg)
}

func (s *secondProcess) stop() {
	s.cancel()
	if err := <-s.done; err != nil {
		s.harness.t.Error(err)
	}
}
