package ctl

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/internal/testnet"
	"github.com/chestnutdyke/chestnutdyke/protocol/adminapi"
	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/store"
)

const storeAddress = "10.0.0.5:8080"

// testFleet runs a store and VMs on an in-memory network.
type testFleet struct {
	t     *testing.T
	net   *testnet.Net
	store *fakeStore
	files map[string]string
	stop  []func()
	mu    sync.Mutex // guards the statuses that the VMs answer with
}

// withFleet calls f in a synctest bubble with a store and no VMs.
func withFleet(t *testing.T, f func(t *testing.T, fleet *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &testFleet{t: t, net: testnet.New(), store: &fakeStore{}, files: make(map[string]string)}
		fleet.serve(storeAddress, fleet.serveStore)
		f(t, fleet)
		for _, stop := range fleet.stop {
			stop()
		}
	})
}

func (fleet *testFleet) serve(address string, handler http.HandlerFunc) {
	l, err := fleet.net.Listen(address)
	if err != nil {
		fleet.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	done := make(chan error)
	go func() { done <- server.Serve(l) }()
	fleet.stop = append(fleet.stop, func() {
		_ = server.Close()
		<-done
	})
}

// serveStore serves the fake store over HTTP.
func (fleet *testFleet) serveStore(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		o, found, err := fleet.store.Get(r.Context(), "")
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
		case !found:
			w.WriteHeader(http.StatusNotFound)
		default:
			_ = json.NewEncoder(w).Encode(o)
		}
		return
	}
	var p storeapi.Put
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		fleet.t.Error(err)
	}
	result := fleet.store.Put(r.Context(), "", p)
	switch result.Outcome {
	case store.PutUnknown:
		panic(http.ErrAbortHandler)
	case store.PutConflict:
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(result.Object)
}

// run executes a command line in which STORE is replaced by the -store flag.
func (fleet *testFleet) run(line string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	args := strings.Fields(strings.ReplaceAll(line, "STORE", "-store "+storeAddress))
	env := Env{Network: fleet.net, Stdout: &out, Stderr: &errs, Random: bytes.NewReader(bytes.Repeat([]byte{7}, 64)),
		ReadFile: func(path string) ([]byte, error) {
			text, ok := fleet.files[path]
			if !ok {
				return nil, os.ErrNotExist
			}
			return []byte(text), nil
		}}
	code = Run(fleet.t.Context(), env, args)
	return code, out.String(), errs.String()
}

// expect executes a command line and checks that it returns the exit code and that
// its output contains all parts.
func (fleet *testFleet) expect(line string, code int, parts ...string) {
	fleet.t.Helper()
	got, stdout, stderr := fleet.run(line)
	if got != code {
		fleet.t.Errorf("%s: exit code %d, want %d\n%s%s", line, got, code, stdout, stderr)
	}
	for _, p := range parts {
		if !strings.Contains(stdout+stderr, p) {
			fleet.t.Errorf("%s: output lacks %q:\n%s%s", line, p, stdout, stderr)
		}
	}
}

// Guards against wrong exit codes and messages of the ticket commands. Scripts and
// operators rely on them.
func TestTicketCommands(t *testing.T) {
	withFleet(t, func(t *testing.T, fleet *testFleet) {
		fleet.files["4.yaml"] = ticketText(4, "brahim", "seffarine")
		fleet.files["5.yaml"] = ticketText(5, "amina", "seffarine")
		fleet.files["taken.yaml"] = ticketText(5, "chama", "talaa")
		fleet.files["bad.yaml"] = strings.Replace(ticketText(6, "amina", "talaa"), "burst: 20", "burst: 0\n    colour: red", 1)
		fleet.files["route.yaml"] = "ticket: 6\noperator: amina\nreason: test\nroutes:\n  r: {group: nowhere, access: read_only}\n"
		fleet.files["warn.yaml"] = "ticket: 6\noperator: amina\nreason: test\ndata_centres:\n  rif: {}\n"

		fleet.expect("ticket history STORE", ExitOK, "ticket  time")
		fleet.expect("ticket check 4.yaml", ExitOK, "ticket 4 is well formed")
		fleet.expect("ticket apply STORE 4.yaml", ExitOK, "ticket 4 applied, 1 objects changed", "+ customers/seffarine", "+ rate: 14")
		fleet.expect("ticket apply STORE 4.yaml", ExitOK, "ticket 4 was applied before")
		fleet.expect("ticket check STORE 5.yaml", ExitOK, "ticket 5 changes 1 objects", "~ rate: 14 -> 15")
		fleet.expect("ticket apply STORE 5.yaml", ExitOK, "~ customers/seffarine")
		fleet.expect("ticket apply STORE taken.yaml", ExitConflict, "the number 5 was taken by ticket 5 of amina, 2000-01-01T00:00:00Z")
		fleet.expect("ticket check STORE 4.yaml", ExitError, "4.yaml:1: ticket 4 is not above ticket 5")
		fleet.expect("ticket diff STORE 4.yaml", ExitOK, "~ rate: 15 -> 14")
		fleet.expect("ticket check bad.yaml", ExitError, "bad.yaml:7: burst must be at least 1", "bad.yaml:8: unknown field \"colour\"")
		fleet.expect("ticket apply STORE bad.yaml", ExitError, "bad.yaml:7: burst", "ticket 6 was not applied; it is not valid")
		fleet.expect("ticket check route.yaml", ExitOK)
		fleet.expect("ticket check STORE route.yaml", ExitError, "route.yaml:5: route r leads to the unknown group nowhere")
		fleet.expect("ticket apply STORE warn.yaml", ExitError, "warn.yaml:5: warning: data centre rif is in service without a VM", "-accept-warnings")
		fleet.expect("ticket apply STORE -accept-warnings warn.yaml", ExitOK, "warning: data centre rif", "+ data_centres/rif")
		fleet.expect("ticket history STORE", ExitOK, "5       2000-01-01T00:00:00Z  amina     test    customers/seffarine")
		fleet.expect("ticket history STORE -json", ExitOK, `"operator": "brahim"`)
		fleet.expect("ticket show STORE -json", ExitOK, `"rate": 15`)

		_, shown, _ := fleet.run("ticket show STORE")
		fleet.files["shown.yaml"] = shown
		fleet.expect("ticket diff STORE shown.yaml", ExitOK, "ticket 6 changes 0 objects")
	})
}

// Guards against an exit code that reports an unknown outcome as success or failure.
func TestStoreFailures(t *testing.T) {
	withFleet(t, func(t *testing.T, fleet *testFleet) {
		fleet.files["4.yaml"] = ticketText(4, "brahim", "seffarine")
		fleet.store.fault = func(n int) string { return map[bool]string{true: "after"}[n > 1] }
		fleet.expect("ticket apply STORE 4.yaml", ExitUnknown, "ticket 4 may have been applied", "run the same command again")
		fleet.expect("ticket show STORE", ExitError, "the store cannot be reached")
		fleet.store.fault = nil
		fleet.expect("ticket apply STORE 4.yaml", ExitOK, "was applied before")
		fleet.net.SetDown(storeAddress, true)
		fleet.expect("ticket apply STORE -timeout 1s 4.yaml", ExitError, "ticket 4 was not applied: the store cannot be reached")
	})
}

// Guards against wrong command lines that are executed or reported as another kind
// of error, and against commands without help.
func TestUsage(t *testing.T) {
	withFleet(t, func(t *testing.T, fleet *testFleet) {
		fleet.files["4.yaml"] = ticketText(4, "brahim", "seffarine")
		for _, line := range []string{"", "tickets", "ticket", "ticket apply", "ticket apply 4.yaml", "ticket apply STORE 4.yaml 5.yaml",
			"ticket apply STORE -nonsense 4.yaml", "ticket show", "status", "status STORE more", "key new now"} {
			fleet.expect(line, ExitUsage, "chestnutctl: ")
		}
		fleet.expect("ticket apply STORE none.yaml", ExitError, "the ticket cannot be read")
		for _, line := range []string{"-h", "help", "ticket -h"} {
			fleet.expect(line, ExitOK, "usage: chestnutctl COMMAND", exitCodes)
		}
		for _, c := range commands {
			fleet.expect(c.name+" -h", ExitOK, "usage: chestnutctl "+c.name, exitCodes)
		}
	})
}

// Guards against a hash that does not belong to the key.
func TestKeyNew(t *testing.T) {
	withFleet(t, func(t *testing.T, fleet *testFleet) {
		_, out, _ := fleet.run("key new")
		var key, hash string
		if _, err := fmt.Sscanf(out, "key: %s\nsha256: %s", &key, &hash); err != nil {
			t.Fatal(err)
		}
		if sum := fmt.Sprintf("%x", sha256.Sum256([]byte(key))); sum != hash || len(key) != len(keyPrefix)+43 {
			t.Errorf("key %s, hash %s", key, hash)
		}
	})
}

// serveVM serves the status of a VM at its admin address.
func (fleet *testFleet) serveVM(s *adminapi.Status) {
	fleet.serve(s.Name+":7001", func(w http.ResponseWriter, r *http.Request) {
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		answer := *s
		if r.URL.Query().Get(adminapi.QueryBrief) == "true" {
			answer.VMs, answer.Members, answer.Groups, answer.Shares = nil, nil, nil, nil
		}
		_ = json.NewEncoder(w).Encode(answer)
	})
}

// startVMs applies a ticket with six VMs and starts two of them. m1 has applied the
// ticket and a1 lags. Of the others, a2 lags according to m1, m2 is silent, a3 is
// leaving and silent, and m3 is out.
func (fleet *testFleet) startVMs() (current, lagging *adminapi.Status) {
	fleet.files["7.yaml"] = `ticket: 7
operator: amina
reason: test
data_centres:
  atlas:
    vms:
      - {name: a1, address: 'a1:7000', admin_address: 'a1:7001'}
      - {name: a2, address: 'a2:7000'}
      - {name: a3, address: 'a3:7000', admin_address: 'a3:7001', state: leaving}
  medina:
    vms:
      - {name: m1, address: 'm1:7000', admin_address: 'm1:7001'}
      - {name: m2, address: 'm2:7000', admin_address: 'm2:7001'}
      - {name: m3, address: 'm3:7000', admin_address: 'm3:7001', state: out}
`
	fleet.expect("ticket apply STORE 7.yaml", ExitOK)
	current = &adminapi.Status{Name: "m1", DataCentre: "medina", State: state.InService,
		Config:   adminapi.Config{Ticket: 7, Applied: 7, Confirmed: true, Age: 1500 * time.Millisecond, StoreReached: true},
		Sessions: adminapi.Sessions{Open: 12, InTransaction: 3, Waiting: 1},
		VMs:      []adminapi.VM{{Name: "m1", DataCentre: "medina", AdminAddress: "m1:7001", State: state.InService}, {Name: "a1", DataCentre: "atlas", AdminAddress: "a1:7001", State: state.InService}},
		Members:  []adminapi.Member{{Name: "a2", Applied: 5, Age: time.Second}, {Name: "m2", Applied: 7, Age: time.Minute}},
		Groups:   []adminapi.Group{{Name: "g", Term: 3 << 16, Primary: "g-a"}},
		Shares:   []adminapi.Share{{Customer: "talaa", Rate: 10}}}
	lagging = &adminapi.Status{Name: "a1", DataCentre: "atlas", State: state.InService, Config: adminapi.Config{Ticket: 7, Applied: 6},
		Groups: []adminapi.Group{{Name: "g", Term: 2 << 16, Primary: "g-b"}}, Shares: []adminapi.Share{{Customer: "talaa", Rate: 5.5}}}
	fleet.serveVM(current)
	fleet.serveVM(lagging)
	return current, lagging
}

// Guards against lagging or silent VMs that are missing from the output or confused
// with each other.
func TestStatus(t *testing.T) {
	withFleet(t, func(t *testing.T, fleet *testFleet) {
		fleet.startVMs()
		code, out, _ := fleet.run("ticket status STORE")
		want := `ticket 7 of amina, 2000-01-01T00:00:00Z

data centre  in force  applied  lagging  silent
atlas        5 to 6    0 of 2   2        0
medina       7         1 of 2   0        1
lagging: a1 in atlas has applied ticket 6
lagging: a2 in atlas has applied ticket 5: the ticket has no admin_address for it
silent: m2 in medina: no answer: Get "http://m2:7001/v1/status?brief=true": dial m2:7001: connection refused
`
		if diff := cmp.Diff(want, out); diff != "" || code != ExitLagging {
			t.Errorf("exit code %d, output (-want +got):\n%s", code, diff)
		}
		fleet.expect("status STORE", ExitLagging, "m1  medina       in_service  7        1.5s ago   reached      12        3               1",
			"g      196608  g-a      1 of 2", "talaa     15.5")
		fleet.expect("ticket status STORE -ticket 5", ExitOK, "ticket 5\n")
		fleet.expect("ticket status STORE -ticket 5 -strict", ExitLagging)
		_, out, _ = fleet.run("status STORE -json")
		var r report
		if err := json.Unmarshal([]byte(out), &r); err != nil || r.Ticket != 7 || len(r.Lagging) != 2 || len(r.Silent) != 1 || len(r.VMs) != 2 {
			t.Errorf("JSON %+v, %v", r, err)
		}
	})
}

// Guards against an outage of the store that makes the state of the VMs unavailable,
// and against reporting success when no VM answered.
func TestStatusWithoutStore(t *testing.T) {
	withFleet(t, func(t *testing.T, fleet *testFleet) {
		fleet.startVMs()
		fleet.net.SetDown(storeAddress, true)
		fleet.expect("status STORE -vm m2:7001,m1:7001", ExitLagging, "warning: the store was not read", "lagging: a1", "medina       7         1 of 1")
		fleet.expect("status STORE", ExitError, "give -vm to ask VMs instead")
		fleet.expect("status -vm m2:7001", ExitError, "VM at m2:7001")
		fleet.net.SetDown(storeAddress, false)
		fleet.net.SetDown("m1:7001", true)
		fleet.net.SetDown("a1:7001", true)
		fleet.expect("ticket status STORE", ExitError, "none of 5 VMs answered")
	})
}

// Guards against a -wait that ends too early, too late or never.
func TestWait(t *testing.T) {
	withFleet(t, func(t *testing.T, fleet *testFleet) {
		current, lagging := fleet.startVMs()
		start := time.Now()
		fleet.expect("ticket status STORE -wait 3s", ExitLagging)
		if took := time.Since(start); took != 3*time.Second {
			t.Errorf("gave up after %v", took)
		}
		timer := time.AfterFunc(4*time.Second, func() {
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			current.Members[0].Applied = 7
			lagging.Config.Applied = 7
		})
		defer timer.Stop()
		start = time.Now()
		fleet.expect("ticket status STORE -wait 1m", ExitOK, "atlas        7         2 of 2")
		if took := time.Since(start); took < 4*time.Second || took > 4*time.Second+pollInterval {
			t.Errorf("noticed after %v", took)
		}
	})
}
