package ticket

import (
	"fmt"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// maxVMs is the maximum number of VMs: a term has 16 bits for the index of the
// VM that established it.
const maxVMs = 1 << 16

// checkConfig checks a configuration as a whole: references between objects,
// unique values, and whether the objects can serve requests together. Each text
// names the objects, so that the same problem has the same text in two
// configurations.
func checkConfig(c *state.Config) findings {
	var f findings
	checkUnique(&f, c)
	checkKeys(&f, c)
	checkServerDataCentres(&f, c)
	checkRouteTargets(&f, c)
	checkGroupAvailability(&f, c)
	checkDataCentreAvailability(&f, c)
	checkBursts(&f, c)
	return f
}

// uniquenessCheck records the first use of each value and reports further uses.
type uniquenessCheck struct {
	f       *findings
	subject string
	seen    map[string]firstUse
}

type firstUse struct {
	text string
	path []string
}

func newUniquenessCheck(f *findings, subject string) *uniquenessCheck {
	return &uniquenessCheck{f, subject, make(map[string]firstUse)}
}

func (u *uniquenessCheck) add(value, text string, path []string) {
	first, used := u.seen[value]
	switch {
	case value == "":
	case used:
		u.f.error(fmt.Sprintf("%s %s is used twice: by %s and by %s", u.subject, value, first.text, text), path, first.path)
	default:
		u.seen[value] = firstUse{text, path}
	}
}

func checkUnique(f *findings, c *state.Config) {
	servers := newUniquenessCheck(f, "server name")
	vms := newUniquenessCheck(f, "VM name")
	addresses := newUniquenessCheck(f, "address")
	for _, name := range sorted(c.Groups) {
		for i, s := range c.Groups[name].Servers {
			at := func(field string) []string { return objectPath(Groups, name, "servers", fmt.Sprint(i), field) }
			text := fmt.Sprintf("server %s of group %s", s.Name, name)
			servers.add(s.Name, "group "+name, at("name"))
			addresses.add(s.Address, text, at("address"))
			addresses.add(s.ControlAddress, "the control interface of "+text, at("control_address"))
		}
	}
	for _, name := range sorted(c.DataCentres) {
		for i, vm := range c.DataCentres[name].VMs {
			at := func(field string) []string { return objectPath(DataCentres, name, "vms", fmt.Sprint(i), field) }
			text := fmt.Sprintf("VM %s of data centre %s", vm.Name, name)
			vms.add(vm.Name, "data centre "+name, at("name"))
			addresses.add(vm.Address, text, at("address"))
			addresses.add(vm.AdminAddress, "the admin interface of "+text, at("admin_address"))
		}
	}
	if n := len(vms.seen); n > maxVMs {
		f.error(fmt.Sprintf("there are %d VMs; at most %d are possible", n, maxVMs), []string{string(DataCentres)})
	}
}

// checkKeys reports keys that are listed twice. Two customers with the same key
// could impersonate each other.
func checkKeys(f *findings, c *state.Config) {
	hashes := newUniquenessCheck(f, "the sha256")
	charged := chargedCustomers(c)
	for _, name := range sorted(c.Customers) {
		active := 0
		for i, k := range c.Customers[name].Keys {
			if !k.Revoked {
				active++
			}
			if k.Hash == (state.KeyHash{}) {
				continue
			}
			text := fmt.Sprintf("key %s of customer %s", k.ID, name)
			hashes.add(fmt.Sprintf("%x", k.Hash), text, objectPath(Customers, name, "keys", fmt.Sprint(i), "sha256"))
		}
		if active == 0 && !charged[name] {
			f.warn(fmt.Sprintf("customer %s has no key in force and cannot connect", name), objectPath(Customers, name, "keys"))
		}
	}
}

// chargedCustomers returns the customers to which open routes are charged.
func chargedCustomers(c *state.Config) map[string]bool {
	charged := make(map[string]bool)
	for _, r := range c.Routes {
		if r.Open {
			charged[r.ChargedTo] = true
		}
	}
	return charged
}

func checkServerDataCentres(f *findings, c *state.Config) {
	for _, name := range sorted(c.Groups) {
		for i, s := range c.Groups[name].Servers {
			if s.DataCentre != "" && c.DataCentres[s.DataCentre] == nil {
				f.error(fmt.Sprintf("server %s of group %s is in the unknown data centre %s", s.Name, name, s.DataCentre),
					objectPath(Groups, name, "servers", fmt.Sprint(i), "data_centre"), objectPath(DataCentres, s.DataCentre))
			}
		}
	}
}

func checkRouteTargets(f *findings, c *state.Config) {
	for _, name := range sorted(c.Routes) {
		r := c.Routes[name]
		if r.Group != "" && c.Groups[r.Group] == nil {
			f.error(fmt.Sprintf("route %s leads to the unknown group %s", name, r.Group),
				objectPath(Routes, name, "group"), objectPath(Groups, r.Group))
		}
		if r.ChargedTo != "" && c.Customers[r.ChargedTo] == nil {
			f.error(fmt.Sprintf("route %s is charged to the unknown customer %s", name, r.ChargedTo),
				objectPath(Routes, name, "charged_to"), objectPath(Customers, r.ChargedTo))
		}
		for i, customer := range r.Customers {
			if c.Customers[customer] == nil {
				f.error(fmt.Sprintf("route %s admits the unknown customer %s", name, customer),
					objectPath(Routes, name, "customers", fmt.Sprint(i)), objectPath(Customers, customer))
			}
		}
	}
}

// checkGroupAvailability warns of groups that cannot serve requests with the
// servers that remain in service. Servers that are out still count towards the
// number of servers of which a majority is needed.
func checkGroupAvailability(f *findings, c *state.Config) {
	for _, name := range sorted(c.Groups) {
		g := c.Groups[name]
		inService, active := 0, 0
		paths := [][]string{objectPath(Groups, name, "servers")}
		for i := range g.Servers {
			switch c.ServerState(&g.Servers[i]) {
			case state.InService:
				inService++
				active++
			case state.Leaving:
				active++
			}
			paths = append(paths, objectPath(DataCentres, g.Servers[i].DataCentre, "state"))
		}
		switch {
		case len(g.Servers) == 0:
		case inService == 0:
			f.warn(fmt.Sprintf("group %s takes no work: none of its %d servers is in service", name, len(g.Servers)), paths...)
		case active < g.Majority():
			f.warn(fmt.Sprintf("group %s takes no writes: %d of its %d servers are out, and %d are needed", name, len(g.Servers)-active, len(g.Servers), g.Majority()), paths...)
		}
	}
}

func checkDataCentreAvailability(f *findings, c *state.Config) {
	inService := 0
	for _, name := range sorted(c.DataCentres) {
		d := c.DataCentres[name]
		if d.State != state.InService {
			continue
		}
		inService++
		if countInService(d.VMs) == 0 {
			f.warn(fmt.Sprintf("data centre %s is in service without a VM in service; its part of every rate is lost", name),
				objectPath(DataCentres, name, "vms"))
		}
	}
	if len(c.DataCentres) > 0 && inService == 0 {
		f.warn("no data centre is in service; every request is refused", []string{string(DataCentres)})
	}
}

func countInService(vms []state.VM) int {
	n := 0
	for _, vm := range vms {
		if vm.State == state.InService {
			n++
		}
	}
	return n
}

// checkBursts warns of bursts whose part for each data centre is below one
// request. A data centre can then serve the customer only with loans.
func checkBursts(f *findings, c *state.Config) {
	inService := 0
	for _, d := range c.DataCentres {
		if d.State == state.InService {
			inService++
		}
	}
	for _, name := range sorted(c.Customers) {
		if burst := c.Customers[name].Burst; burst >= 1 && burst < float64(inService) {
			f.warn(fmt.Sprintf("customer %s has a burst of %v for %d data centres, less than 1 request for each", name, burst, inService),
				objectPath(Customers, name, "burst"))
		}
	}
}
