package access

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

var now = time.Date(2030, 3, 1, 12, 0, 0, 0, time.UTC)

func hash(key string) state.KeyHash { return sha256.Sum256([]byte(key)) }

func testConfig() *state.Config {
	return &state.Config{
		Customers: map[string]*state.Customer{
			"binder": {
				Name: "binder",
				Keys: []state.Key{
					{ID: "old", Hash: hash("old"), Revoked: true},
					{ID: "new", Hash: hash("new")},
				},
				CutOff: state.CutOffPolicy{ServeFor: time.Minute},
			},
			"tanner": {Name: "tanner", Keys: []state.Key{{ID: "k", Hash: hash("tan")}}, CutOff: state.CutOffPolicy{Always: true}},
			"public": {Name: "public"},
		},
		Routes: map[string]*state.Route{
			"stock":   {Name: "stock", Customers: []string{"binder"}},
			"hides":   {Name: "hides"},
			"catalog": {Name: "catalog", Open: true, ChargedTo: "public"},
		},
	}
}

// Guards against running a request without a valid key of its customer, with a
// revoked key, or on a route that the customer may not use.
func TestKeyAndRoute(t *testing.T) {
	fresh := state.Freshness{ConfirmedAt: now}
	tests := []struct {
		name                 string
		customer, route, key string
		want                 Outcome
	}{
		{"valid key", "binder", "stock", "new", Outcome{Customer: "binder"}},
		{"route for all customers", "tanner", "hides", "tan", Outcome{Customer: "tanner"}},
		{"unknown customer", "nobody", "stock", "new", Outcome{Reason: UnknownCustomer}},
		{"key of another customer", "tanner", "hides", "new", Outcome{Reason: WrongKey}},
		{"no key", "binder", "stock", "", Outcome{Reason: WrongKey}},
		{"revoked key", "binder", "stock", "old", Outcome{Reason: RevokedKey}},
		{"route of another customer", "tanner", "stock", "tan", Outcome{Reason: RouteNotAllowed}},
		{"unknown route", "binder", "none", "new", Outcome{Reason: UnknownRoute}},
		{"unknown route is not disclosed without a key", "binder", "none", "guess", Outcome{Reason: WrongKey}},
		{"open route without key", "", "catalog", "", Outcome{Customer: "public"}},
		{"open route charges its own customer", "binder", "catalog", "new", Outcome{Customer: "public"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := Request{Customer: tt.customer, Route: tt.route}
			if tt.key != "" {
				r.Key, r.HasKey = hash(tt.key), true
			}
			if got := Check(testConfig(), fresh, now, r); got != tt.want {
				t.Fatalf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// Guards against access without a key to a customer whose stored hash is all
// zeros: the hash of an absent key is the zero value too.
func TestAbsentKeyMatchesNothing(t *testing.T) {
	c := testConfig()
	c.Customers["binder"].Keys = []state.Key{{ID: "zero"}}
	got := Check(c, state.Freshness{ConfirmedAt: now}, now, Request{Customer: "binder", Route: "stock"})
	if got.Reason != WrongKey {
		t.Fatalf("got %+v, want reason WrongKey", got)
	}
}

// Guards against serving a customer for longer than its policy allows while the
// VM is cut off from the store, and against refusing one although the store is
// down for all VMs or was reached recently.
func TestCutOff(t *testing.T) {
	tests := []struct {
		name   string
		policy state.CutOffPolicy
		fresh  state.Freshness
		served bool
	}{
		{"within serve_for", state.CutOffPolicy{ServeFor: time.Minute}, state.Freshness{ConfirmedAt: now.Add(-time.Minute)}, true},
		{"after serve_for", state.CutOffPolicy{ServeFor: time.Minute}, state.Freshness{ConfirmedAt: now.Add(-time.Minute - 1)}, false},
		{"zero serve_for in contact", state.CutOffPolicy{}, state.Freshness{ConfirmedAt: now.Add(-MaxConfirmationAge)}, true},
		{"zero serve_for out of contact", state.CutOffPolicy{}, state.Freshness{ConfirmedAt: now.Add(-MaxConfirmationAge - 1)}, false},
		{"always", state.CutOffPolicy{Always: true}, state.Freshness{}, true},
		{"never confirmed", state.CutOffPolicy{ServeFor: time.Hour}, state.Freshness{}, false},
		{"store down for all", state.CutOffPolicy{}, state.Freshness{ConfirmedAt: now.Add(-time.Hour), StoreDown: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := testConfig()
			c.Customers["binder"].CutOff = tt.policy
			got := Check(c, tt.fresh, now, Request{Customer: "binder", Route: "stock", Key: hash("new"), HasKey: true})
			if got.Allowed() != tt.served {
				t.Fatalf("got %+v, want allowed %v", got, tt.served)
			}
		})
	}
	if got := Check(nil, state.Freshness{}, now, Request{}); got.Reason != NoConfiguration {
		t.Fatalf("without a configuration got %+v", got)
	}
}

// Guards against allocations in a check that runs for every request.
func TestCheckDoesNotAllocate(t *testing.T) {
	c, fresh := testConfig(), state.Freshness{ConfirmedAt: now}
	r := Request{Customer: "binder", Route: "stock", Key: hash("new"), HasKey: true}
	if n := testing.AllocsPerRun(100, func() { Check(c, fresh, now, r) }); n != 0 {
		t.Fatalf("%v allocations per check, want none", n)
	}
}

func BenchmarkCheck(b *testing.B) {
	c, fresh := testConfig(), state.Freshness{ConfirmedAt: now}
	r := Request{Customer: "binder", Route: "stock", Key: hash("new"), HasKey: true}
	for b.Loop() {
		Check(c, fresh, now, r)
	}
}
