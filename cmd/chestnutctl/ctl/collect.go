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
	// vmTimeout is the time-out of a request to one VM. A VM answers from memory, so
	// one that takes longer is reported as not answering.
	vmTimeout = 2 * time.Second
	// maxConcurrentRequests limits the VMs that are asked at the same time.
	maxConcurrentRequests = 32
	// maxStatusBytes limits the size of a status that is read. 490 members of 200
	// bytes and 800 groups of 100 bytes take 180 KB.
	maxStatusBytes = 8 << 20
)

// vmAnswer is the result of requesting the status of one VM.
type vmAnswer struct {
	vm     adminapi.VM
	status *adminapi.Status // nil without an answer
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

// fetchAll requests the status of all VMs. The answers are in the order of vms.
func (c *statusClient) fetchAll(ctx context.Context, vms []adminapi.VM, brief bool) []vmAnswer {
	answers := make([]vmAnswer, len(vms))
	var g errgroup.Group
	g.SetLimit(maxConcurrentRequests)
	for i, vm := range vms {
		g.Go(func() error {
			status, err := c.fetch(ctx, vm.AdminAddress, brief)
			answers[i] = vmAnswer{vm, status, err}
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

// addMembers replaces the brief answer of one VM per data centre by a full one,
// which lists when it last heard from other VMs. It does nothing if every VM
// answered.
func (c *statusClient) addMembers(ctx context.Context, answers []vmAnswer) {
	chosen := make(map[string]*vmAnswer)
	silent := false
	for i := range answers {
		answer := &answers[i]
		switch {
		case answer.status == nil:
			silent = true
		case chosen[answer.vm.DataCentre] == nil:
			chosen[answer.vm.DataCentre] = answer
		}
	}
	if !silent {
		return
	}
	var wg sync.WaitGroup
	for _, answer := range chosen {
		wg.Go(func() {
			if full, err := c.fetch(ctx, answer.vm.AdminAddress, false); err == nil {
				answer.status = full
			}
		})
	}
	wg.Wait()
}
