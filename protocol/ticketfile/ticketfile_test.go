package ticketfile

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

func keyHash(n int) string { return fmt.Sprintf("%064x", n) }

// baseTicket creates the configuration that the tickets of the tests change.
var baseTicket = `ticket: 7
operator: amina
reason: First state
customers:
  talaa:
    rate: 200
    burst: 400
    keys:
      - {id: k1, sha256: "` + keyHash(1) + `"}
      - {id: k2, sha256: "` + keyHash(2) + `", revoked: true}
    when_cut_off: {serve_for: 10m, reason: short outages}
  seffarine:
    rate: 1.5
    burst: 30
    keys:
      - {id: k1, sha256: "` + keyHash(3) + `"}
    when_cut_off: {serve_for: always, reason: reads public data}
groups:
  ledger-1:
    servers:
      - {name: l1a, data_centre: medina, address: "10.1.0.11:5432", control_address: "10.1.0.11:9432", connections: 20, slots: 3}
      - {name: l1b, data_centre: atlas, address: "10.2.0.11:5432", control_address: "10.2.0.11:9432", connections: 20, slots: 3}
      - {name: l1c, data_centre: atlas, address: "10.2.0.12:5432", control_address: "10.2.0.12:9432", connections: 20, slots: 3, state: out}
routes:
  ledger: {group: ledger-1, access: read_write, customers: [talaa], deadline: 2s}
  stock: {group: ledger-1, access: read_only, open: true, charged_to: seffarine, max_staleness: 1m30s}
data_centres:
  medina:
    region: fes
    vms:
      - {name: m1, address: "10.1.0.21:7000", admin_address: "10.1.0.21:7001"}
      - {name: m2, address: "10.1.0.22:7000", state: leaving}
  atlas:
    region: fes
    vms:
      - {name: a1, address: "10.2.0.21:7000", state: out}
      - {name: a2, address: "10.2.0.22:7000"}
`

func baseConfig(t *testing.T) *state.Config {
	t.Helper()
	f := Parse("base.yaml", []byte(baseTicket))
	merged, problems := ticket.Check(nil, f.Ticket)
	if all := f.Problems(problems); len(all) > 0 {
		t.Fatalf("the base ticket has problems: %v", all)
	}
	return merged
}

// ticketHeader is the start of the tickets in the tests. Text appended to it starts
// at line 4.
const ticketHeader = "ticket: 8\noperator: brahim\nreason: test\n"

// Guards against invalid tickets that are accepted, and against problems that are
// reported without the line that causes them or one at a time.
func TestProblemsHaveLines(t *testing.T) {
	cutOff := "    when_cut_off: {serve_for: 1m, reason: x}\n"
	customer := func(lines string) string { return ticketHeader + "customers:\n  new:\n" + lines + cutOff }
	limits := "    rate: 1\n    burst: 5\n"
	server := func(text string) string {
		return ticketHeader + "groups:\n  new:\n    servers:\n      - {name: n1, data_centre: medina, address: '10.9.0.1:1', control_address: '10.9.0.1:2', connections: 2, slots: 1, " + text + "}\n"
	}
	route := func(text string) string { return ticketHeader + "routes:\n  new: {" + text + "}\n" }
	tests := map[string]struct {
		text string
		want []string
	}{
		"number in force":     {strings.Replace(ticketHeader, "8", "7", 1) + "remove: {routes: [stock]}", []string{"1: ticket 7 is not above ticket 7"}},
		"lower number":        {strings.Replace(ticketHeader, "8", "3", 1) + "remove: {routes: [stock]}", []string{"1: ticket 3 is not above ticket 7"}},
		"number only":         {"ticket: 8\n", []string{"1: operator is missing", "1: reason is missing", "1: the ticket changes nothing"}},
		"no number":           {ticketHeader[10:] + "remove: {routes: [stock]}", []string{"1: the ticket has no number"}},
		"negative number":     {"ticket: -1\n" + ticketHeader[10:] + "remove: {routes: [stock]}", []string{"1: expected a whole number, not negative, found \"-1\""}},
		"reason of two lines": {"ticket: 8\noperator: b\nreason: \"a\\nb\"\nremove: {routes: [stock]}", []string{"3: reason contains a line break"}},
		"removals": {ticketHeader + "remove:\n  routes: [stock, nowhere, stock]\n",
			[]string{"5: routes/nowhere does not exist", "5: routes/stock is removed twice"}},
		"set and removed":      {ticketHeader + "routes:\n  stock: {group: ledger-1, access: read_only}\nremove: {routes: [stock]}\n", []string{"6: routes/stock is both set and removed"}},
		"group still in use":   {ticketHeader + "remove: {groups: [ledger-1]}\n", []string{"4: route ledger leads to the unknown group ledger-1", "4: route stock leads to the unknown group ledger-1"}},
		"customer still named": {ticketHeader + "remove: {customers: [seffarine]}\n", []string{"4: route stock is charged to the unknown customer seffarine"}},
		"data centre still used": {ticketHeader + "remove: {data_centres: [medina]}\n", []string{"4: server l1a of group ledger-1 is in the unknown data centre medina",
			"4: warning: VM m1 is removed in the state in_service", "4: warning: VM m2 is removed in the state leaving"}},
		"customer without when_cut_off": {ticketHeader + "customers:\n  new:\n    rate: 1\n    burst: 5\n    keys: [{id: k, sha256: " + keyHash(9) + "}]\n", []string{"5: when_cut_off is missing"}},
		"cut-off policy":                {ticketHeader + "customers:\n  new:\n    rate: 1\n    burst: 5\n    keys: [{id: k, sha256: " + keyHash(9) + "}]\n    when_cut_off:\n      serve_for: 1s\n", []string{"9: when_cut_off has no reason", "10: serve_for must be always or at least 5s, not 1s"}},
		"no duration":                   {ticketHeader + "customers:\n  new:\n    rate: 1\n    burst: 5\n    keys: [{id: k, sha256: " + keyHash(9) + "}]\n    when_cut_off:\n      serve_for: ever\n      reason: x\n", []string{"10: serve_for must be a duration such as"}},
		"rate and burst":                {customer("    rate: 0\n    burst: .nan\n    keys: [{id: k, sha256: " + keyHash(9) + "}]\n"), []string{"6: rate must be above zero, not 0", "7: burst must be at least 1, not NaN"}},
		"infinite rate":                 {customer("    rate: .inf\n    burst: 5\n    keys: [{id: k, sha256: " + keyHash(9) + "}]\n"), []string{"6: rate must be above zero"}},
		"key of another customer":       {customer(limits + "    keys:\n      - {id: k, sha256: " + keyHash(1) + "}\n"), []string{"9: the sha256 " + keyHash(1) + " is used twice"}},
		"key twice":                     {customer(limits + "    keys:\n      - {id: k, sha256: " + keyHash(8) + "}\n      - {id: k, sha256: " + keyHash(8) + "}\n"), []string{"10: customer new has two keys with the id k", "10: the sha256 " + keyHash(8) + " is used twice"}},
		"no hash":                       {customer(limits + "    keys:\n      - {id: k, sha256: 12}\n      - {id: l}\n"), []string{"9: sha256 must be 64 hexadecimal digits", "10: key l has no sha256"}},
		"no key":                        {customer(limits), []string{"5: warning: customer new has no key in force"}},
		"small burst":                   {customer("    rate: 1\n    burst: 1\n    keys: [{id: k, sha256: " + keyHash(9) + "}]\n"), []string{"7: warning: customer new has a burst of 1 for 2 data centres"}},
		"bad name":                      {ticketHeader + "data_centres:\n  a/b: {}\n", []string{"5: the name \"a/b\" contains", "5: warning: data centre a/b is in service without a VM"}},
		"empty group":                   {ticketHeader + "groups:\n  new:\n    servers: []\n", []string{"6: group new has no servers"}},
		"even group":                    {ticketHeader + strings.Replace(baseTicket[strings.Index(baseTicket, "groups:"):strings.Index(baseTicket, "routes:")], "      - {name: l1b", "      # - {name: l1b", 1), []string{"6: warning: group ledger-1 has 2 servers", "6: warning: group ledger-1 takes no writes: 1 of its 2 servers are out", "6: warning: server l1b of group ledger-1 is removed in the state in_service"}},
		"server values": {server("state: asleep, data_centre: x, sluts: 3"), []string{"6: warning: group new takes no work", "7: \"data_centre\" is already defined at line 7", "7: unknown field \"sluts\"",
			"7: state must be in_service, leaving or out, not \"asleep\""}},
		"server limits":               {strings.Replace(server(""), "connections: 2, slots: 1", "connections: 0, slots: -1", 1), []string{"7: connections must be above zero, not 0", "7: slots must be above zero, not -1"}},
		"more slots than connections": {strings.Replace(server(""), "slots: 1", "slots: 3", 1), []string{"7: warning: server n1 has 3 slots but only 2 connections"}},
		"unknown data centre":         {strings.Replace(server(""), "medina", "rif", 1), []string{"7: server n1 of group new is in the unknown data centre rif"}},
		"server name in use":          {strings.Replace(server(""), "n1", "l1a", 1), []string{"7: server name l1a is used twice: by group ledger-1 and by group new"}},
		"address in use":              {strings.Replace(server(""), "10.9.0.1:2", "10.1.0.21:7001", 1), []string{"7: address 10.1.0.21:7001 is used twice: by the control interface of server n1 of group new and by the admin interface of VM m1 of data centre medina"}},
		"bad address":                 {strings.Replace(server(""), "10.9.0.1:2", "10.9.0.1", 1), []string{"7: the address \"10.9.0.1\" has no port"}},
		"two servers replaced":        {ticketHeader + strings.NewReplacer("l1a", "x1", "l1c", "x2").Replace(baseTicket[strings.Index(baseTicket, "groups:"):strings.Index(baseTicket, "routes:")]), []string{"6: warning: server l1a of group ledger-1 is removed in the state in_service", "6: group ledger-1 gains and loses 4 servers"}},
		"route to an unknown group":   {route("group: rif, access: read_write"), []string{"5: route new leads to the unknown group rif"}},
		"route without group":         {route("access: write"), []string{"5: group is missing", "5: access must be read_write or read_only, not \"write\""}},
		"route of unknown customers":  {route("group: ledger-1, access: read_only, customers: [talaa, x, talaa]"), []string{"5: customer talaa is listed twice", "5: route new admits the unknown customer x"}},
		"open route":                  {route("group: ledger-1, access: read_only, open: true, customers: [talaa]"), []string{"5: an open route needs charged_to", "5: an open route cannot list customers"}},
		"charged route":               {route("group: ledger-1, access: read_only, charged_to: x"), []string{"5: charged_to is for open routes", "5: route new is charged to the unknown customer x"}},
		"negative durations":          {route("group: ledger-1, access: read_only, deadline: -1s, max_staleness: -2s"), []string{"5: max_staleness must not be negative, but is -2s", "5: deadline must not be negative, but is -1s"}},
		"VMs": {ticketHeader + "data_centres:\n  rif:\n    vms:\n      - {name: m1, address: 'x:0', state: gone}\n      - {name: r1, address: '10.1.0.21:7000'}\n",
			[]string{"7: the address \"x:0\" has the port \"0\"", "7: state must be in_service", "7: VM name m1 is used twice: by data centre medina and by data centre rif", "8: address 10.1.0.21:7000 is used twice"}},
		"VMs removed": {ticketHeader + "data_centres:\n  medina:\n    vms:\n      - {name: m2, address: '10.1.0.22:7000', state: leaving}\n  atlas: {vms: [{name: a2, address: '10.2.0.22:7000'}]}\n",
			[]string{"6: warning: data centre medina is in service without a VM in service", "6: warning: VM m1 is removed in the state in_service"}},
		"VM moved": {ticketHeader + "data_centres:\n  medina:\n    vms: [{name: m1, address: '10.1.0.21:7000'}]\n  atlas:\n    vms:\n      - {name: a2, address: '10.2.0.22:7000', state: out}\n      - {name: m2, address: '10.1.0.22:7000'}\n",
			[]string{"8: warning: VM a2 goes from in_service to out without leaving", "8: warning: VM m2 moves from data centre medina to atlas"}},
		"data centre out that a group needs": {ticketHeader + "data_centres:\n  atlas: {state: out, vms: [{name: a2, address: '10.2.0.22:7000'}]}\n",
			[]string{"5: warning: group ledger-1 takes no writes: 2 of its 3 servers are out, and 2 are needed", "5: warning: data centre atlas goes from in_service to out without leaving"}},
		"data centre out that holds all of a group": {ticketHeader + "groups:\n  solo:\n    servers: [{name: s1, data_centre: atlas, address: '10.9.0.1:1', control_address: '10.9.0.1:2', connections: 2, slots: 1}]\ndata_centres:\n  atlas: {state: leaving, vms: [{name: a2, address: '10.2.0.22:7000'}]}\n",
			[]string{"6: warning: group solo takes no work: none of its 1 servers is in service"}},
		"no data centre in service": {ticketHeader + "data_centres:\n  medina: {state: leaving, vms: [{name: m1, address: '10.1.0.21:7000'}, {name: m2, address: '10.1.0.22:7000'}]}\n  atlas: {state: leaving, vms: [{name: a2, address: '10.2.0.22:7000'}]}\n",
			[]string{"4: warning: no data centre is in service", "5: warning: group ledger-1 takes no work"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := Parse("t.yaml", []byte(test.text))
			_, found := ticket.Check(baseConfig(t), f.Ticket)
			var got []string
			for _, p := range f.Problems(found) {
				got = append(got, strings.TrimPrefix(p.Format("t.yaml"), "t.yaml:"))
			}
			prefixes := cmp.Comparer(func(a, b string) bool { return strings.HasPrefix(a, b) || strings.HasPrefix(b, a) })
			if diff := cmp.Diff(test.want, got, prefixes); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against rejecting a ticket because of an error that is already in force: it
// would keep operators from revoking a key.
func TestExistingErrorsAreWarnings(t *testing.T) {
	current := baseConfig(t)
	current.Routes["ledger"].Group = "gone"
	f := Parse("t.yaml", []byte(ticketHeader+"customers:\n  seffarine:\n    rate: 1\n    burst: 9\n    when_cut_off: {serve_for: 1m, reason: x}\n"))
	_, found := ticket.Check(current, f.Ticket)
	want := []ticket.Problem{{Path: []string{"routes", "ledger", "group"}, Warning: true, Text: "already in force: route ledger leads to the unknown group gone"}}
	if diff := cmp.Diff(want, found); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}

// Guards against a digest that depends on the layout of the file, and against equal
// digests of different tickets.
func TestDigest(t *testing.T) {
	digestOf := func(text string) string { return Parse("t.yaml", []byte(text)).Ticket.ID.Digest }
	reordered := "reason: First state\n" + strings.Replace(baseTicket, "reason: First state\n", "# note\n", 1)
	if digestOf(baseTicket) != digestOf(strings.Replace(reordered, "1m30s", "90s", 1)) {
		t.Error("the digest depends on the layout of the file")
	}
	for _, change := range []string{"amina|brahim", "First|Second", "rate: 200|rate: 201", "revoked: true|revoked: false", "ticket: 7|ticket: 8"} {
		old, now, _ := strings.Cut(change, "|")
		if digestOf(baseTicket) == digestOf(strings.Replace(baseTicket, old, now, 1)) {
			t.Errorf("the digest is the same after the change %s", change)
		}
	}
}

// Guards against values that are lost when a configuration is written to the store,
// a message or a file and read back.
func TestRoundTrip(t *testing.T) {
	config := baseConfig(t)
	object := &ticket.Object{Config: config, Records: []ticket.Record{{
		ID: config.Ticket, Operator: "amina", Reason: "<first> & \"only\"", Changed: []string{"routes/stock"}, ChangedMore: 3,
		Time: time.Date(2026, 11, 3, 9, 0, 0, 0, time.UTC),
	}}}
	data, err := EncodeObject(object)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeObjectForUpdate(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(object, decoded); diff != "" {
		t.Errorf("object changed by the store (-before +after):\n%s", diff)
	}
	alone, err := EncodeConfig(config)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := DecodeConfig(alone); err != nil || !cmp.Equal(config, again) {
		t.Errorf("configuration changed by a message: %v, %s", err, cmp.Diff(config, again))
	}
	written, err := Format(&ticket.Ticket{ID: config.Ticket, Operator: "amina", Reason: "First state", Customers: config.Customers,
		Groups: config.Groups, Routes: config.Routes, DataCentres: config.DataCentres})
	if err != nil {
		t.Fatal(err)
	}
	again, problems := ticket.Check(nil, Parse("again.yaml", written).Ticket)
	if diff := cmp.Diff(config, again, cmpopts.EquateEmpty()); diff != "" || len(problems) > 0 {
		t.Errorf("configuration changed by a file (-before +after):\n%s%v", diff, problems)
	}
}

// Guards against updating an object that a newer release wrote, which would lose
// its unknown fields, and against decoding a format that is not supported.
func TestNewerRelease(t *testing.T) {
	extra := []byte(`{"config":{"format":1,"number":3,"digest":"d","colour":"red"}}`)
	if _, err := DecodeObject(extra); err != nil {
		t.Errorf("DecodeObject rejected an unknown field: %v", err)
	}
	if _, err := DecodeObjectForUpdate(extra); err == nil {
		t.Error("DecodeObjectForUpdate accepted an unknown field")
	}
	for _, format := range []string{`"format":2,`, ``} {
		if _, err := DecodeObject([]byte(`{"config":{` + format + `"number":3}}`)); err == nil {
			t.Errorf("DecodeObject accepted the format %q", format)
		}
	}
}

// Guards against encoding a value that the store would refuse.
func TestSizeLimit(t *testing.T) {
	config := ticket.EmptyConfig()
	config.DataCentres["big"] = &state.DataCentre{Name: "big", Region: strings.Repeat("x", storeapi.MaxValueBytes)}
	if _, err := EncodeConfig(config); err == nil || !strings.Contains(err.Error(), "the store holds at most 1048576") {
		t.Errorf("got error %v", err)
	}
}

// Guards against panics, and against values that change when they are encoded and
// decoded again.
func FuzzDecodeObject(f *testing.F) {
	f.Add([]byte(`{"config":{"format":1,"number":3,"digest":"d","customers":{"a":{"rate":1,"burst":2,"when_cut_off":{"serve_for":"1m","reason":"r"}},"b":{}}}}`))
	f.Add([]byte(`{"config":{"format":1,"groups":{"g":{"servers":[{"name":"s"}]}},"routes":{"r":{"deadline":"1s"}}},"records":[{"number":1,"time":"2026-11-03T09:00:00Z"}]}`))
	f.Add([]byte(`{"config":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := DecodeObject(data)
		if err != nil {
			return
		}
		encoded, err := EncodeObject(first)
		if err != nil {
			return
		}
		second, err := DecodeObjectForUpdate(encoded)
		if err != nil {
			t.Fatalf("the encoded object cannot be decoded: %v", err)
		}
		if diff := cmp.Diff(first, second, cmpopts.EquateEmpty(), cmpopts.EquateNaNs()); diff != "" {
			t.Errorf("the value changed when it was encoded and decoded again:\n%s", diff)
		}
	})
}

// Guards against panics, and against valid files that change when they are
// formatted and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(baseTicket))
	f.Add([]byte(ticketHeader + "remove: {routes: [a, b]}\n"))
	f.Add([]byte("ticket: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file := Parse("t.yaml", data)
		_, found := ticket.Check(nil, file.Ticket)
		if file.Err(found) != nil {
			return
		}
		written, err := Format(file.Ticket)
		if err != nil {
			t.Fatal(err)
		}
		if again := Parse("t.yaml", written).Ticket; again.ID != file.Ticket.ID {
			t.Errorf("the value changed when it was encoded and decoded again:\n%s", written)
		}
	})
}
