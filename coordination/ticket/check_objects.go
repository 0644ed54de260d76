package ticket

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// MinServeFor is the minimum of serve_for (see state.CutOffPolicy). Confirmations
// of the configuration travel through the exchange between VMs, so ages of a few
// seconds are normal and must not cause refusals.
const MinServeFor = 5 * time.Second

// sorted returns the keys of a map in order, which makes the order of problems
// deterministic.
func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

func objectPath(kind Kind, name string, rest ...string) []string {
	return append([]string{string(kind), name}, rest...)
}

// checkObjects checks each object set by the ticket on its own.
func checkObjects(f *findings, t *Ticket) {
	for _, name := range sorted(t.Customers) {
		checkCustomer(f, t.Customers[name])
	}
	for _, name := range sorted(t.Groups) {
		checkGroup(f, t.Groups[name])
	}
	for _, name := range sorted(t.Routes) {
		checkRoute(f, t.Routes[name])
	}
	for _, name := range sorted(t.DataCentres) {
		checkDataCentre(f, t.DataCentres[name])
	}
}

func checkName(f *findings, name string, path []string) {
	if err := CheckName(name); err != nil {
		f.error(err.Error(), path)
	}
}

func checkAddress(f *findings, address string, path []string) {
	if err := CheckAddress(address); err != nil {
		f.error(err.Error(), path)
	}
}

func checkCustomer(f *findings, c *state.Customer) {
	at := func(rest ...string) []string { return objectPath(Customers, c.Name, rest...) }
	checkName(f, c.Name, at())
	if !(c.Rate > 0) || math.IsInf(c.Rate, 0) {
		f.error(fmt.Sprintf("rate must be above zero, not %v", c.Rate), at("rate"))
	}
	if !(c.Burst >= 1) || math.IsInf(c.Burst, 0) {
		f.error(fmt.Sprintf("burst must be at least 1, not %v", c.Burst), at("burst"))
	}
	checkCutOff(f, c.CutOff, at)
	ids := make(map[string]bool)
	for i, k := range c.Keys {
		index := fmt.Sprint(i)
		checkName(f, k.ID, at("keys", index, "id"))
		if ids[k.ID] {
			f.error(fmt.Sprintf("customer %s has two keys with the id %s", c.Name, k.ID), at("keys", index, "id"))
		}
		ids[k.ID] = true
		if k.Hash == (state.KeyHash{}) {
			f.error(fmt.Sprintf("key %s has no sha256", k.ID), at("keys", index, "sha256"))
		}
	}
}

func checkCutOff(f *findings, p state.CutOffPolicy, at func(...string) []string) {
	switch {
	case p == state.CutOffPolicy{}:
		f.error("when_cut_off is missing: say how long a VM that is cut off serves the customer, and why", at("when_cut_off"))
		return
	case !p.Always && p.ServeFor < MinServeFor:
		f.error(fmt.Sprintf("serve_for must be always or at least %v, not %v", MinServeFor, p.ServeFor), at("when_cut_off", "serve_for"))
	}
	if p.Reason == "" {
		f.error("when_cut_off has no reason", at("when_cut_off", "reason"))
	}
}

func checkGroup(f *findings, g *state.Group) {
	checkName(f, g.Name, objectPath(Groups, g.Name))
	path := objectPath(Groups, g.Name, "servers")
	switch n := len(g.Servers); {
	case n == 0:
		f.error(fmt.Sprintf("group %s has no servers; at least 1 is needed", g.Name), path)
	case n%2 == 0:
		f.warn(fmt.Sprintf("group %s has %d servers; writes stop when %d fail, as with %d servers", g.Name, n, n/2, n-1), path)
	}
	for i := range g.Servers {
		checkServer(f, &g.Servers[i], func(field string) []string {
			return objectPath(Groups, g.Name, "servers", fmt.Sprint(i), field)
		})
	}
}

func checkServer(f *findings, s *state.BackendServer, at func(string) []string) {
	checkName(f, s.Name, at("name"))
	checkAddress(f, s.Address, at("address"))
	checkAddress(f, s.ControlAddress, at("control_address"))
	if s.DataCentre == "" {
		f.error("data_centre is missing", at("data_centre"))
	}
	if s.Connections < 1 {
		f.error(fmt.Sprintf("connections must be above zero, not %d", s.Connections), at("connections"))
	}
	if s.Slots < 1 {
		f.error(fmt.Sprintf("slots must be above zero, not %d", s.Slots), at("slots"))
	}
	if s.Slots > s.Connections && s.Connections > 0 {
		f.warn(fmt.Sprintf("server %s has %d slots but only %d connections", s.Name, s.Slots, s.Connections), at("slots"))
	}
	checkState(f, s.State, at("state"))
}

func checkState(f *findings, s state.ServiceState, path []string) {
	switch s {
	case state.InService, state.Leaving, state.Out:
	default:
		f.error(fmt.Sprintf("state must be in_service, leaving or out, not %q", s), path)
	}
}

func checkRoute(f *findings, r *state.Route) {
	at := func(rest ...string) []string { return objectPath(Routes, r.Name, rest...) }
	checkName(f, r.Name, at())
	if r.Group == "" {
		f.error("group is missing", at("group"))
	}
	if r.Access != state.ReadWrite && r.Access != state.ReadOnly {
		f.error(fmt.Sprintf("access must be read_write or read_only, not %q", r.Access), at("access"))
	}
	switch {
	case r.Open && r.ChargedTo == "":
		f.error("an open route needs charged_to: the customer whose rate its requests count against", at("charged_to"))
	case !r.Open && r.ChargedTo != "":
		f.error("charged_to is for open routes; this one counts against the customer that connects", at("charged_to"))
	}
	if r.Open && len(r.Customers) > 0 {
		f.error("an open route cannot list customers, since it asks for no key", at("customers"))
	}
	for i, name := range r.Customers {
		if slices.Index(r.Customers, name) < i {
			f.error(fmt.Sprintf("customer %s is listed twice", name), at("customers", fmt.Sprint(i)))
		}
	}
	if r.MaxStaleness < 0 {
		f.error(fmt.Sprintf("max_staleness must not be negative, but is %v", r.MaxStaleness), at("max_staleness"))
	}
	if r.Deadline < 0 {
		f.error(fmt.Sprintf("deadline must not be negative, but is %v", r.Deadline), at("deadline"))
	}
}

func checkDataCentre(f *findings, d *state.DataCentre) {
	checkName(f, d.Name, objectPath(DataCentres, d.Name))
	checkState(f, d.State, objectPath(DataCentres, d.Name, "state"))
	for i, vm := range d.VMs {
		at := func(field string) []string { return objectPath(DataCentres, d.Name, "vms", fmt.Sprint(i), field) }
		checkName(f, vm.Name, at("name"))
		checkAddress(f, vm.Address, at("address"))
		if vm.AdminAddress != "" {
			checkAddress(f, vm.AdminAddress, at("admin_address"))
		}
		checkState(f, vm.State, at("state"))
	}
}
