package ctl

import (
	"context"
	"flag"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/adminapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// pollInterval is the pause between two rounds of status requests with -wait.
const pollInterval = 500 * time.Millisecond

const statusHelp = `The list of VMs comes from the store (-store), or from a VM (-vm) if the store
is not given or does not answer. Every VM of the list is then asked at the
admin_address that the ticket gives for it. VMs that are out are left out.

A VM lags if it is live and has not applied the ticket. It is silent if it does
not answer and no other VM heard it lately; a silent VM does not count as live.
With -strict silent VMs count as lagging. Use it to make sure that a revoked key
is refused everywhere: a VM that is cut off goes on with its old configuration
for as long as when_cut_off allows.

With -wait the command asks again until no VM lags or the time is over.
`

var ticketStatusCommand = command{
	name:    "ticket status",
	summary: "Show which VMs have applied the ticket in force",
	help:    statusHelp,
	setup:   setupStatus(true),
}

var statusCommand = command{
	name:    "status",
	summary: "Show the ticket in force, and the state of VMs, groups and customers",
	help:    statusHelp,
	setup:   setupStatus(false),
}

// statusOptions holds the flags of the status commands.
type statusOptions struct {
	storeFlags
	vmAddresses string
	number      uint64
	wait        time.Duration
	strict      bool
	asJSON      bool
	brief       bool // report only the state of the ticket
}

func setupStatus(brief bool) func(*flag.FlagSet) func(context.Context, Env, []string) int {
	return func(f *flag.FlagSet) func(context.Context, Env, []string) int {
		o := &statusOptions{brief: brief}
		o.register(f)
		f.StringVar(&o.vmAddresses, "vm", "", "admin addresses of some VMs, `host:port,...`")
		f.Uint64Var(&o.number, "ticket", 0, "compare with the ticket of this `number` instead of the newest")
		f.DurationVar(&o.wait, "wait", 0, "wait at most this long until every live VM has applied the ticket")
		f.BoolVar(&o.strict, "strict", false, "count silent VMs as lagging")
		f.BoolVar(&o.asJSON, "json", false, "print JSON")
		return func(ctx context.Context, env Env, args []string) int {
			if err := expectNoArguments(args); err != nil {
				return env.fail(err)
			}
			return status(ctx, env, o)
		}
	}
}

func status(ctx context.Context, env Env, o *statusOptions) int {
	if o.store == "" && o.vmAddresses == "" {
		return env.fail(usageError("-store or -vm is needed"))
	}
	client := newStatusClient(env.Network)
	defer client.close()
	deadline := time.Now().Add(o.wait)
	for {
		r, err := o.collect(ctx, env, client)
		if err != nil {
			return env.fail(err)
		}
		left := time.Until(deadline)
		if !o.isLagging(r) || left <= 0 || ctx.Err() != nil {
			return o.print(env, r)
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(pollInterval, left)):
		}
	}
}

func (o *statusOptions) isLagging(r *report) bool {
	return len(r.Lagging) > 0 || o.strict && len(r.Silent) > 0
}

// collect requests the status of the whole fleet once.
func (o *statusOptions) collect(ctx context.Context, env Env, client *statusClient) (*report, error) {
	vms, latest, storeErr := o.listFromStore(ctx, env)
	if storeErr != nil {
		var err error
		if vms, err = o.listFromVMs(ctx, client); err != nil {
			return nil, err
		}
	}
	vms = slices.DeleteFunc(vms, func(vm adminapi.VM) bool { return vm.State == state.Out })
	responses := client.fetchAll(ctx, vms, o.brief)
	if err := requireAnyResponse(responses); err != nil {
		return nil, err
	}
	if o.brief {
		client.addMembers(ctx, responses)
	}
	number := o.number
	if number == 0 {
		number = latest.ID.Number
	}
	r := newReport(number, responses)
	if r.Ticket == latest.ID.Number && latest.Operator != "" {
		r.Operator, r.Time = latest.Operator, &latest.Time
	}
	if storeErr != nil && o.store != "" {
		r.StoreError = storeErr.Error()
	}
	if !o.brief {
		for _, response := range responses {
			if response.status != nil {
				r.VMs = append(r.VMs, *response.status)
			}
		}
	}
	return r, nil
}

// requireAnyResponse returns an error if there are VMs and none responded. Without it,
// a report with no lagging VM would look as if all had applied the ticket.
func requireAnyResponse(responses []vmResponse) error {
	for _, resp := range responses {
		if resp.status != nil {
			return nil
		}
	}
	if len(responses) == 0 {
		return nil
	}
	return eris.Wrapf(responses[0].err, "none of %d VMs answered; %s", len(responses), responses[0].vm.Name)
}

// listFromStore returns the VMs and the latest ticket recorded in the store.
func (o *statusOptions) listFromStore(ctx context.Context, env Env) ([]adminapi.VM, ticket.Record, error) {
	if o.store == "" {
		return nil, ticket.Record{}, usageError("-store is missing")
	}
	object, err := o.readConfig(ctx, env)
	if err != nil {
		return nil, ticket.Record{}, err
	}
	latest := ticket.Record{ID: object.Config.Ticket}
	if n := len(object.Records); n > 0 {
		latest = object.Records[n-1]
	}
	return adminapi.ListVMs(object.Config), latest, nil
}

// listFromVMs returns the VMs known to the VM with the highest ticket among those
// given with -vm.
func (o *statusOptions) listFromVMs(ctx context.Context, client *statusClient) ([]adminapi.VM, error) {
	var newest *adminapi.Status
	var lastErr error
	for _, address := range strings.Split(o.vmAddresses, ",") {
		if address == "" {
			continue
		}
		s, err := client.fetch(ctx, address, false)
		switch {
		case err != nil:
			lastErr = eris.Wrapf(err, "VM at %s", address)
		case newest == nil || s.Config.Ticket > newest.Config.Ticket:
			newest = s
		}
	}
	switch {
	case newest != nil:
		return newest.VMs, nil
	case lastErr != nil:
		return nil, lastErr
	default:
		return nil, eris.New("the store does not answer; give -vm to ask VMs instead")
	}
}

func (o *statusOptions) print(env Env, r *report) int {
	code := ExitOK
	if o.isLagging(r) {
		code = ExitLagging
	}
	if o.asJSON {
		if failed := env.printJSON(r); failed != ExitOK {
			return failed
		}
		return code
	}
	printTicket(env, r)
	if !o.brief {
		printVMs(env, r.VMs)
		printGroups(env, r.VMs)
		printShares(env, r.VMs)
	}
	return code
}
