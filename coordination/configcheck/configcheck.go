// Package configcheck finds entries of a configuration that can never match, limits that
// contradict each other, and the differences between two versions.
package configcheck

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Section is a list of a configuration.
type Section uint8

// Values of Section. General is the part outside of all lists.
const (
	General Section = iota
	Routes
	Groups
	Customers
)

// Place is an entry of a configuration; Index counts from zero and is not used in
// General.
type Place struct {
	Section Section
	Index   int
}

// Finding is something that an operator should look at. VMs accept the configuration.
type Finding struct {
	Place   Place
	Message string
}

// Check returns the findings in the order of the configuration.
func Check(c *catalog.Config) []Finding {
	return slices.Concat(checkRoutes(c), checkGroups(c), checkCustomers(c))
}

func checkRoutes(c *catalog.Config) []Finding {
	var findings []Finding
	for i := range c.Routes {
		r := &c.Routes[i]
		add := func(format string, args ...any) {
			findings = append(findings, Finding{Place{Routes, i}, fmt.Sprintf(format, args...)})
		}
		if c.Route(r.Database) != r {
			add("never matches: a later route has the same database name %q", r.Database)
		}
		if c.Group(r.Group) == nil {
			add("its group %q is not in the configuration", r.Group)
		}
		if r.Timeout == 0 {
			add("has no time for a statement: every one is refused or times out")
		}
		if r.Timeout > 0 && r.TargetLatency > r.Timeout {
			add("the latency objective of %v is longer than the time-out of a statement, %v", r.TargetLatency, r.Timeout)
		}
		if r.Consistency == catalog.Latest && r.MaxStaleness > 0 {
			add("the staleness bound of %v has no effect: reads run on the primary", r.MaxStaleness)
		}
		if r.Consistency != catalog.Latest && r.MaxStaleness == 0 {
			add("no replica can serve it without a staleness bound: reads run on the primary")
		}
	}
	return findings
}

func checkGroups(c *catalog.Config) []Finding {
	var findings []Finding
	for i := range c.Groups {
		g := &c.Groups[i]
		add := func(format string, args ...any) {
			findings = append(findings, Finding{Place{Groups, i}, fmt.Sprintf(format, args...)})
		}
		if c.Group(g.Name) != g {
			add("never used: a later group has the same name %q", g.Name)
		}
		if !slices.ContainsFunc(c.Routes, func(r catalog.Route) bool { return r.Group == g.Name }) {
			add("no route leads to it")
		}
		switch {
		case g.MaxConnections == 0:
			add("allows no connections: no statement can run")
		case g.MaxConnections < len(c.Customers):
			add("%d customers share %d connections to a server: some wait until others give one up", len(c.Customers), g.MaxConnections)
		}
	}
	return findings
}

func checkCustomers(c *catalog.Config) []Finding {
	var findings []Finding
	for i := range c.Customers {
		customer := &c.Customers[i]
		add := func(format string, args ...any) {
			findings = append(findings, Finding{Place{Customers, i}, fmt.Sprintf(format, args...)})
		}
		if c.Customer(customer.Name) != customer {
			add("its limit is not used: a later customer has the same name %q", customer.Name)
		}
		if len(customer.Keys) == 0 {
			add("has no key: it can use public routes only")
		}
		for n, key := range customer.Keys {
			if owner := c.CustomerByKey(key); owner != customer {
				add("key %d never matches: a later customer, %q, has the same", n, owner.Name)
			} else if slices.Contains(customer.Keys[:n], key) {
				add("key %d is there twice", n)
			}
		}
		switch {
		case customer.Rate == 0:
			add("has a rate of zero: its operations are refused once the burst of %v is used", customer.Burst)
		case customer.Burst < catalog.LimitPartitions:
			// Each partition of a limit has an equal part of the burst.
			add("the burst of %v leaves less than one operation for each of the %d parts of its limit", customer.Burst, catalog.LimitPartitions)
		}
	}
	return findings
}

// Kind is the kind of a difference.
type Kind string

// Values of Kind.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Difference is a difference between the version in force and a new one. Keys are only
// counted.
type Difference struct {
	Section Section
	Name    string // of the entry; empty in General
	Kind    Kind
	Details []string // changed fields
}

// Diff returns the differences from the version in force to the next one.
func Diff(inForce, next *catalog.Config) []Difference {
	var all []Difference
	if inForce.TxIdle != next.TxIdle {
		all = append(all, Difference{General, "", Changed, []string{fmt.Sprintf("idle time of transactions: %v -> %v", inForce.TxIdle, next.TxIdle)}})
	}
	all = append(all, diffEntries(Routes, inForce.Routes, next.Routes, func(r catalog.Route) string { return r.Name }, nil)...)
	all = append(all, diffEntries(Groups, inForce.Groups, next.Groups, func(g catalog.Group) string { return g.Name }, nil)...)
	return append(all, diffEntries(Customers, inForce.Customers, next.Customers, func(c catalog.Customer) string { return c.Name }, diffKeys)...)
}

func diffEntries[T any](section Section, inForce, next []T, name func(T) string, more func(a, b T) []string) []Difference {
	find := func(list []T, n string) int { return slices.IndexFunc(list, func(e T) bool { return name(e) == n }) }
	var all []Difference
	for _, e := range inForce {
		i := find(next, name(e))
		if i < 0 {
			all = append(all, Difference{section, name(e), Removed, nil})
			continue
		}
		details := diffFields(e, next[i])
		if more != nil {
			details = append(details, more(e, next[i])...)
		}
		if len(details) > 0 {
			all = append(all, Difference{section, name(e), Changed, details})
		}
	}
	for _, e := range next {
		if find(inForce, name(e)) < 0 {
			all = append(all, Difference{section, name(e), Added, nil})
		}
	}
	return all
}

// diffFields compares the fields that are not lists.
func diffFields(a, b any) []string {
	var details []string
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		if va.Field(i).Kind() != reflect.Slice && !va.Field(i).Equal(vb.Field(i)) {
			details = append(details, fmt.Sprintf("%s: %v -> %v", va.Type().Field(i).Name, va.Field(i).Interface(), vb.Field(i).Interface()))
		}
	}
	return details
}

func diffKeys(a, b catalog.Customer) []string {
	missing := func(from, in []state.KeyHash) int {
		n := 0
		for _, k := range from {
			if !slices.Contains(in, k) {
				n++
			}
		}
		return n
	}
	withdrawn, added := missing(a.Keys, b.Keys), missing(b.Keys, a.Keys)
	if withdrawn+added == 0 {
		return nil
	}
	return []string{fmt.Sprintf("keys: %d added, %d withdrawn", added, withdrawn)}
}
