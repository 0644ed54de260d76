package store

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks()
	os.Exit(m.Run())
}

// delay is the one-way network delay between the client and the store.
const delay = time.Millisecond

// fixture is a store and an HTTP client in a synctest bubble.
type fixture struct {
	t      *testing.T
	store  *Store
	server *Server
	client *http.Transport
}

// inBubble runs a test on an empty store in a synctest bubble, which fails the test if
// a goroutine is left at the end.
func inBubble(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		n.SetDefaultDelay(delay, delay)
		s := New(Options{ListLag: time.Minute})
		server, err := s.Serve(n.Host("10.0.0.1", "platform"), ":80")
		if err != nil {
			t.Fatal(err)
		}
		host := n.Host("10.0.0.2", "east")
		client := &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return host.Dial(ctx, address)
			},
		}
		test(t, &fixture{t: t, store: s, server: server, client: client})
		client.CloseIdleConnections()
		server.Close()
		s.Close()
		n.Close()
	})
}

// call sends a request and returns its status and, if the answer holds one, the object.
func (f *fixture) call(ctx context.Context, method, path string, body any) (int, storeapi.Object, error) {
	f.t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.server.Address()+path, bytes.NewReader(b))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := f.client.RoundTrip(r)
	if err != nil {
		return 0, storeapi.Object{}, err
	}
	defer resp.Body.Close()
	var o storeapi.Object
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusConflict {
		err = json.NewDecoder(resp.Body).Decode(&o)
	}
	return resp.StatusCode, o, err
}

func (f *fixture) put(version uint64, value string) (int, storeapi.Object, error) {
	f.t.Helper()
	p := storeapi.Put{Version: version, Value: json.RawMessage(value)}
	return f.call(context.Background(), http.MethodPut, storeapi.PathObjects+"a/b", p)
}

func (f *fixture) mustPut(version uint64, value string, status int) storeapi.Object {
	f.t.Helper()
	got, o, err := f.put(version, value)
	if err != nil || got != status {
		f.t.Fatalf("put at version %d: status %d, want %d; %v", version, got, status, err)
	}
	return o
}

func (f *fixture) watch(after uint64, wait time.Duration) (int, storeapi.Object, error) {
	path := storeapi.PathObjects + "a/b?after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	return f.call(context.Background(), http.MethodGet, path, nil)
}

// Guards against an update that ignores the version, and a conflict whose answer does
// not hold the current object.
func TestConditionalUpdate(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.mustPut(1, `1`, http.StatusConflict)
		if status, _, _ := f.call(t.Context(), http.MethodGet, storeapi.PathObjects+"a/b", nil); status != http.StatusNotFound {
			t.Fatalf("get of a missing object: status %d", status)
		}
		if o := f.mustPut(0, `{"x":1}`, http.StatusOK); o.Version != 1 {
			t.Fatalf("created %+v", o)
		}
		if o := f.mustPut(0, `2`, http.StatusConflict); o.Version != 1 || string(o.Value) != `{"x":1}` {
			t.Fatalf("conflict returned %+v", o)
		}
		if o := f.mustPut(1, `3`, http.StatusOK); o.Version != 2 || string(o.Value) != `3` {
			t.Fatalf("updated to %+v", o)
		}
		big := `"` + string(bytes.Repeat([]byte("x"), storeapi.MaxValueBytes)) + `"`
		f.mustPut(2, big, http.StatusRequestEntityTooLarge)
		if got := f.store.Calls(); got != (Calls{Get: 1, Put: 5}) {
			t.Fatalf("calls %+v", got)
		}
	})
}

// Guards against a watch that misses an update, ends without one before its wait is
// over, or does not end after its wait.
func TestWatch(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		start := time.Now()
		if status, _, _ := f.watch(0, 10*time.Second); status != http.StatusNotModified {
			t.Fatalf("status %d after the wait", status)
		}
		if took := time.Since(start); took < 10*time.Second || took > 11*time.Second {
			t.Fatalf("a watch with a wait of 10 s took %v", took)
		}
		f.mustPut(0, `1`, http.StatusOK)
		time.AfterFunc(5*time.Second, func() { f.store.Set("a/b", json.RawMessage(`2`)) })
		start = time.Now()
		if status, o, _ := f.watch(1, storeapi.MaxWait); status != http.StatusOK || o.Version != 2 {
			t.Fatalf("status %d, object %+v", status, o)
		}
		if took := time.Since(start); took > 5*time.Second+4*delay {
			t.Fatalf("the watch ended after %v", took)
		}
		start = time.Now()
		if status, o, _ := f.watch(1, storeapi.MaxWait); status != http.StatusOK || o.Version != 2 || time.Since(start) > 4*delay {
			t.Fatalf("status %d, object %+v of a watch for an update that is past", status, o)
		}
		if got := f.store.Calls().Watch; got != 3 {
			t.Fatalf("%d watches counted", got)
		}
	})
}

// Guards against an update that is not executed when its answer is dropped, and against
// more dropped answers than were requested.
func TestLostAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.store.LoseAnswers(1)
		if status, _, err := f.put(0, `1`); err == nil {
			t.Fatalf("answered with status %d", status)
		}
		if o, ok := f.store.Object("a/b"); !ok || o.Version != 1 {
			t.Fatalf("object %+v", o)
		}
		f.mustPut(1, `2`, http.StatusOK)
	})
}

// Guards against calls that are answered during an outage, watches that stay pending
// when an outage begins, and a store that is unreachable after it.
func TestOutages(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.mustPut(0, `1`, http.StatusOK)
		watched := make(chan int)
		go func() {
			status, _, _ := f.watch(1, storeapi.MaxWait)
			watched <- status
		}()
		time.Sleep(time.Second)
		f.store.SetOutage(Refusing)
		if status := <-watched; status != 0 {
			t.Fatalf("a watch was answered with status %d during an outage", status)
		}
		if _, _, err := f.put(1, `2`); err == nil {
			t.Fatal("a call was answered during an outage")
		}
		f.store.SetOutage(Hanging)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, _, err := f.call(ctx, http.MethodGet, storeapi.PathObjects+"a/b", nil); err == nil {
			t.Fatal("a call was answered while the store hung")
		}
		time.AfterFunc(time.Hour, func() { f.store.SetOutage(InService) })
		f.mustPut(1, `3`, http.StatusOK)

		f.store.SetLatency(time.Second)
		start := time.Now()
		f.mustPut(2, `4`, http.StatusOK)
		if took := time.Since(start); took < time.Second {
			t.Fatalf("a call with a latency of 1 s was answered after %v", took)
		}
	})
}

// Guards against a list of VMs that shows a change before its lag is over, or skips
// one.
func TestListLags(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		listed := func() int { return len(f.store.vms.get(time.Now())) }
		f.store.SetVMs([]storeapi.VM{{Name: "v1"}})
		time.Sleep(30 * time.Second)
		f.store.SetVMs([]storeapi.VM{{Name: "v1"}, {Name: "v2"}})
		if n := listed(); n != 0 {
			t.Fatalf("%d VMs listed before the lag", n)
		}
		time.Sleep(30 * time.Second)
		if n := listed(); n != 1 {
			t.Fatalf("%d VMs listed after the first lag", n)
		}
		time.Sleep(30 * time.Second)
		if n := listed(); n != 2 {
			t.Fatalf("%d VMs listed after the second lag", n)
		}
	})
}
