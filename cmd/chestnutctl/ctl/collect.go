package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke/protocol/adminapi"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

const (
	// vmTimeout is the longest time to wait for one VM. A VM answers from memory; a
	// longer silence is reported.
	vmTimeout = 2 * time.Second
	// maxParallel is how many VMs are asked at once.
	maxParallel = 32
	// maxStatus is the longest status read in bytes: 490 members of 200 bytes and
	// 800 groups of 100 take 180 KB.
	maxStatus = 8 << 20
)

// answer is what came of asking one VM.
type answer struct {
	vm     adminapi.VM
	status *adminapi.Status // nil without an answer
	err    error
}

// asker asks VMs for their status.
type asker struct{ http *http.Client }

func newAsker(n network.Network) *asker {
	return &asker{&http.Client{
		Timeout: vmTimeout,
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) },
		},
	}}
}

func (a *asker) close() { a.http.CloseIdleConnections() }

// ask asks one VM at its admin address.
func (a *asker) ask(ctx context.Context, address string, brief bool) (*adminapi.Status, error) {
	if address == "" {
		return nil, eris.New("the ticket has no admin_address for it")
	}
	url := "http://" + address + adminapi.PathStatus
	if brief {
		url += "?" + adminapi.QueryBrief + "=true"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "the address cannot be used")
	}
	response, err := a.http.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("answered with status %d", response.StatusCode)
	}
	var s adminapi.Status
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatus)).Decode(&s); err != nil {
		return nil, eris.Wrap(err, "the answer cannot be read")
	}
	return &s, nil
}

// askAll asks all VMs. The answers have the order of the VMs.
func (a *asker) askAll(ctx context.Context, vms []adminapi.VM, brief bool) []answer {
	answers := make([]answer, len(vms))
	var g errgroup.Group
	g.SetLimit(maxParallel)
	for i, vm := range vms {
		g.Go(func() error {
			status, err := a.ask(ctx, vm.AdminAddress, brief)
			answers[i] = answer{vm, status, err}
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

// complete replaces the brief answer of one VM per data centre by a full one,
// which names the VMs that it heard. That is needed only if a VM is silent.
func (a *asker) complete(ctx context.Context, answers []answer) {
	chosen := make(map[string]*answer)
	silent := false
	for i := range answers {
		one := &answers[i]
		switch {
		case one.status == nil:
			silent = true
		case chosen[one.vm.DataCentre] == nil:
			chosen[one.vm.DataCentre] = one
		}
	}
	if !silent {
		return
	}
	var all sync.WaitGroup
	for _, one := range chosen {
		all.Go(func() {
			if full, err := a.ask(ctx, one.vm.AdminAddress, false); err == nil {
				one.status = full
			}
		})
	}
	all.Wait()
}
