package store

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/chestnutdyke/chestnutdyke/internal/testnet"
	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
)

const address = "10.0.0.1:8080"

// fixture is a server with a client on an in-memory network.
type fixture struct {
	net    *testnet.Net
	client *Client
}

// run calls f in a synctest bubble with a server that responds through handler.
func run(t *testing.T, handler http.HandlerFunc, f func(t *testing.T, x *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		n := testnet.New()
		l, err := n.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: handler}
		done := make(chan error)
		go func() { done <- server.Serve(l) }()
		x := &fixture{net: n, client: newClient(n)}
		f(t, x)
		x.client.Close()
		_ = server.Close()
		<-done
	})
}

func newClient(n *testnet.Net) *Client {
	return New(Options{Network: n, Address: address, Log: &log.Logger{Handler: discard.New()}, Random: rand.New(rand.NewPCG(1, 2)).Float64})
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// neverRespond reads the body before it blocks, because the server detects a
// client's disconnect only after that.
func neverRespond(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func abortConnection(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// Guards against an update that is reported as not done although it may have
// taken effect, and against one that is reported as done although it may not
// have.
func TestPutOutcomes(t *testing.T) {
	tests := map[string]struct {
		handler http.HandlerFunc
		want    Outcome
		version uint64
	}{
		"done":                     {respondWith(200, `{"name":"config","version":4,"value":{}}`), PutApplied, 0},
		"done, answer unreadable":  {respondWith(200, `{"na`), PutApplied, 0},
		"conflict":                 {respondWith(409, `{"name":"config","version":7,"value":{}}`), PutConflict, 7},
		"conflict without object":  {respondWith(409, ``), PutRejected, 0},
		"too large":                {respondWith(413, `too large`), PutRejected, 0},
		"error after the request":  {respondWith(500, ``), PutUnknown, 0},
		"gateway timeout":          {respondWith(504, ``), PutUnknown, 0},
		"redirect":                 {respondWith(307, ``), PutUnknown, 0},
		"connection cut":           {abortConnection, PutUnknown, 0},
		"no answer within timeout": {neverRespond, PutUnknown, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, test.handler, func(t *testing.T, x *fixture) {
				r := x.client.Put(t.Context(), "config", storeapi.Put{Version: 3, Value: json.RawMessage(`{}`)})
				if r.Outcome != test.want || r.Object.Version != test.version || (r.Err == nil) != (r.Outcome == PutApplied || r.Outcome == PutConflict) {
					t.Errorf("got outcome %v, version %d, error %v", r.Outcome, r.Object.Version, r.Err)
				}
			})
		})
	}
	t.Run("not connected", func(t *testing.T) {
		run(t, neverRespond, func(t *testing.T, x *fixture) {
			x.net.SetDown(address, true)
			if r := x.client.Put(t.Context(), "config", storeapi.Put{Value: json.RawMessage(`{}`)}); r.Outcome != PutRejected {
				t.Errorf("got outcome %v", r.Outcome)
			}
		})
	})
}

// Guards against a missing object that is reported as an error, against calls
// that never time out, and against a new connection for each call.
func TestGet(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/objects/groups/ledger 1":
			respondWith(200, `{"name":"groups/ledger 1","version":2,"value":{"a":1}}`)(w, r)
		case "/v1/objects/slow":
			neverRespond(w, r)
		case "/v1/vms":
			respondWith(200, `[{"name":"m1","data_centre":"medina","address":"10.1.0.21:7000","leaving":true}]`)(w, r)
		case "/v1/objects/large":
			_, _ = w.Write(make([]byte, maxBody+1))
		case "/v1/objects/broken":
			respondWith(200, `{`)(w, r)
		default:
			respondWith(404, ``)(w, r)
		}
	}
	run(t, handler, func(t *testing.T, x *fixture) {
		ctx := t.Context()
		if o, found, err := x.client.Get(ctx, "groups/ledger 1"); err != nil || !found || o.Version != 2 || string(o.Value) != `{"a":1}` {
			t.Errorf("got %+v, %v, %v", o, found, err)
		}
		if _, found, err := x.client.Get(ctx, "nowhere"); found || err != nil {
			t.Errorf("missing object: %v, %v", found, err)
		}
		if vms, err := x.client.VMs(ctx); err != nil || len(vms) != 1 || !vms[0].Leaving {
			t.Errorf("got %v, %v", vms, err)
		}
		if dials := x.net.Dials(address); dials != 1 {
			t.Errorf("%d connections for 3 calls in a row", dials)
		}
		for _, name := range []string{"slow", "large", "broken"} {
			start := time.Now()
			if _, _, err := x.client.Get(ctx, name); err == nil || time.Since(start) > DefaultCallTimeout {
				t.Errorf("%s: error %v after %v", name, err, time.Since(start))
			}
		}
		if got := x.client.Counts(); got[Get] != (CallCount{5, 2}) || got[VMs] != (CallCount{1, 0}) || got[Put] != (CallCount{}) {
			t.Errorf("counted %v", got)
		}
	})
}

// watchedObject is an HTTP handler that serves watches of one object, like the
// platform's store.
type watchedObject struct {
	mu          sync.Mutex // guards the fields below
	version     uint64
	changed     chan struct{}
	unavailable bool
	requests    []time.Time
}

func newWatchedObject() *watchedObject { return &watchedObject{version: 1} }

func (o *watchedObject) set(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
	if o.changed != nil {
		close(o.changed)
	}
	o.changed = nil
}

// state returns the current state and a channel that is closed at the next
// change. It creates the channel, so that the channel belongs to the synctest
// bubble.
func (o *watchedObject) state() (version uint64, changed chan struct{}, unavailable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return o.version, o.changed, o.unavailable
}

func (o *watchedObject) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var after uint64
	_, _ = fmt.Sscan(r.URL.Query().Get("after"), &after)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	o.mu.Lock()
	o.requests = append(o.requests, time.Now())
	o.mu.Unlock()
	for {
		version, changed, unavailable := o.state()
		switch {
		case unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case version > after:
			_ = json.NewEncoder(w).Encode(storeapi.Object{Name: "config", Version: version, Value: json.RawMessage(`{}`)})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Guards against changes that Follow misses or reports twice, against
// confirmations with too late a time, and against Follow giving up after an
// outage.
func TestFollow(t *testing.T) {
	const wait = 2 * time.Second
	o := newWatchedObject()
	run(t, o.ServeHTTP, func(t *testing.T, x *fixture) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		var events []string
		done := make(chan struct{})
		go func() {
			defer close(done)
			x.client.Follow(ctx, "config", 0, wait, func(e Event) {
				events = append(events, fmt.Sprintf("%v %v %v %d", e.SentAt.Sub(start).Truncate(time.Second), e.Err == nil, e.Changed, e.Object.Version))
			})
		}()
		time.Sleep(3 * time.Second)
		o.set(func() { o.version = 2 })
		time.Sleep(time.Second)
		o.set(func() { o.unavailable = true })
		time.Sleep(time.Minute)
		synctest.Wait()
		failed := len(events)
		o.set(func() { o.unavailable, o.version = false, 3 })
		time.Sleep(BackoffMax)
		cancel()
		<-done
		want := []string{"0s true true 1", "0s true false 0", "2s true true 2", "3s false false 0"}
		for i := range want {
			if events[i] != want[i] {
				t.Errorf("event %d is %q, want %q", i, events[i], want[i])
			}
		}
		if failed < 15 || failed > 60 {
			t.Errorf("%d calls in an outage of a minute", failed)
		}
		if next := events[failed]; next[len(next)-11:] != "true true 3" {
			t.Errorf("after the outage came %q", next)
		}
	})
}

// Guards against a busy loop in Follow if the store responds early or the object
// does not exist.
func TestFollowDoesNotSpin(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"missing": respondWith(404, ``), "unchanged": respondWith(304, ``), "old version": respondWith(200, `{"version":1}`),
	} {
		t.Run(name, func(t *testing.T) {
			run(t, handler, func(t *testing.T, x *fixture) {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				x.client.Follow(ctx, "config", 1, 2*time.Second, func(Event) {})
				if calls := x.client.Counts()[Watch].Calls; calls > 11 {
					t.Errorf("%d calls in 20 s with a wait of 2 s", calls)
				}
			})
		})
	}
}

// Guards against all watchers calling the store at once after it has recovered
// from an outage.
func TestCallsSpreadAfterOutage(t *testing.T) {
	const (
		watchers = 200
		window   = 100 * time.Millisecond
	)
	o := newWatchedObject()
	o.unavailable = true
	run(t, o.ServeHTTP, func(t *testing.T, x *fixture) {
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		for i := range watchers {
			client := New(Options{Network: x.net, Address: address, Log: &log.Logger{Handler: discard.New()}, Random: rand.New(rand.NewPCG(1, uint64(i))).Float64})
			all.Go(func() {
				client.Follow(ctx, "config", 1, storeapi.MaxWait, func(Event) {})
				client.Close()
			})
		}
		time.Sleep(time.Minute)
		o.set(func() { o.unavailable, o.requests = false, nil })
		time.Sleep(BackoffMax)
		o.mu.Lock()
		requests := o.requests
		o.mu.Unlock()
		cancel()
		all.Wait()
		maxInWindow := 0
		for i := range requests {
			n := 0
			for _, other := range requests[i:] {
				if other.Sub(requests[i]) < window {
					n++
				}
			}
			maxInWindow = max(maxInWindow, n)
		}
		t.Logf("%d of %d watchers came back within %v, at most %d within %v", len(requests), watchers, BackoffMax, maxInWindow, window)
		if len(requests) != watchers || maxInWindow > watchers/10 {
			t.Errorf("%d watchers came back, %d of them within %v", len(requests), maxInWindow, window)
		}
	})
}
