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
	// vmTimeout is the time-out of a request to one VM. A VM responds from memory, so
	// one that takes longer is reported as not answering.
	vmTimeout = 2 * time.Second
	// maxConcurrentRequests limits the VMs to which requests are sent at the same time.
	maxConcurrentRequests = 32
	// maxStatusBytes limits the size of a status that is read. 490 members of 200
	// bytes and 800 groups of 100 bytes take 180 KB.
	maxStatusBytes = 8 << 20
)

// vmResponse is the result of requesting the status of one VM.
type vmResponse struct {
	vm     adminapi.VM
	status *adminapi.Status // nil without a response
	err    error
}

// statusClient requests the status of VMs over HTTP.
type statusClient struct{ http *http.Client }

func newStatusClient(n network.Network) *statusClient {
	return &statusClient{&http.Client{
		Timeout: vmTimeout,
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) },
		},
	}}
}

func (c *statusClient) close() { c.http.CloseIdleConnections() }

// fetch requests the status of one VM at its admin address.
func (c *statusClient) fetch(ctx context.Context, address string, brief bool) (*adminapi.Status, error) {
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
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("answered with status %d", response.StatusCode)
	}
	var s adminapi.Status
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&s); err != nil {
		return nil, eris.Wrap(err, "the answer cannot be read")
	}
	return &s, nil
}

// fetchAll requests the status of all VMs. The responses are in the order of vms.
func (c *statusClient) fetchAll(ctx context.Context, vms []adminapi.VM, brief bool) []vmResponse {
	responses := make([]vmResponse, len(vms))
	var g errgroup.Group
	g.SetLimit(maxConcurrentRequests)
	for i, vm := range vms {
		g.Go(func() error {
			status, err := c.fetch(ctx, vm.AdminAddress, brief)
			responses[i] = vmResponse{vm, status, err}
			return nil
		})
	}
	_ = g.Wait()
	return responses
}

// addMembers replaces the brief response of one VM per data centre by a full one,
// which lists when it last heard from other VMs. It does nothing if every VM
// responded.
func (c *statusClient) addMembers(ctx context.Context, responses []vmResponse) {
	chosen := make(map[string]*vmResponse)
	silent := false
	for i := range responses {
		response := &responses[i]
		switch {
		case response.status == nil:
			silent = true
		case chosen[response.vm.DataCentre] == nil:
			chosen[response.vm.DataCentre] = response
		}
	}
	if !silent {
		return
	}
	var wg sync.WaitGroup
	for _, response := range chosen {
		wg.Go(func() {
			if full, err := c.fetch(ctx, response.vm.AdminAddress, false); err == nil {
				response.status = full
			}
		})
	}
	wg.Wait()
}
