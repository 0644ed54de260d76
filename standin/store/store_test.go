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

const oneWay = time.Millisecond

// world is a store and a client in a bubble.
type world struct {
	t      *testing.T
	store  *Store
	server *Server
	client *http.Transport
}

// inBubble runs a test on a store. The bubble fails it if a goroutine is left.
func inBubble(t *testing.T, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		n.SetDefaultDelay(oneWay, oneWay)
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
		test(t, &world{t: t, store: s, server: server, client: client})
		client.CloseIdleConnections()
		server.Close()
		s.Close()
		n.Close()
	})
}

// call sends a request and decodes the answer into an object if it has one.
func (w *world) call(ctx context.Context, method, path string, body any) (int, storeapi.Object, error) {
	w.t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		w.t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.server.Address()+path, bytes.NewReader(b))
	if err != nil {
		w.t.Fatal(err)
	}
	resp, err := w.client.RoundTrip(r)
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

func (w *world) put(version uint64, value string) (int, storeapi.Object, error) {
	w.t.Helper()
	p := storeapi.Put{Version: version, Value: json.RawMessage(value)}
	return w.call(context.Background(), http.MethodPut, storeapi.PathObjects+"a/b", p)
}

func (w *world) mustPut(version uint64, value string, status int) storeapi.Object {
	w.t.Helper()
	got, o, err := w.put(version, value)
	if err != nil || got != status {
		w.t.Fatalf("put at version %d: status %d, want %d; %v", version, got, status, err)
	}
	return o
}

func (w *world) watch(after uint64, wait time.Duration) (int, storeapi.Object, error) {
	path := storeapi.PathObjects + "a/b?after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	return w.call(context.Background(), http.MethodGet, path, nil)
}

// Guards against an update that ignores the version, and a conflict that does
// not show the present object.
func TestConditionalUpdate(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.mustPut(1, `1`, http.StatusConflict)
		if status, _, _ := w.call(t.Context(), http.MethodGet, storeapi.PathObjects+"a/b", nil); status != http.StatusNotFound {
			t.Fatalf("status %d of a missing object", status)
		}
		if o := w.mustPut(0, `{"x":1}`, http.StatusOK); o.Version != 1 {
			t.Fatalf("created %+v", o)
		}
		if o := w.mustPut(0, `2`, http.StatusConflict); o.Version != 1 || string(o.Value) != `{"x":1}` {
			t.Fatalf("conflict shows %+v", o)
		}
		if o := w.mustPut(1, `3`, http.StatusOK); o.Version != 2 || string(o.Value) != `3` {
			t.Fatalf("updated to %+v", o)
		}
		big := `"` + string(bytes.Repeat([]byte("x"), storeapi.MaxValue)) + `"`
		w.mustPut(2, big, http.StatusRequestEntityTooLarge)
		if got := w.store.Calls(); got != (Calls{Get: 1, Put: 5}) {
			t.Fatalf("calls %+v", got)
		}
	})
}

// Guards against a watch that misses an update, wakes without one, or does not
// end after its wait.
func TestWatch(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		start := time.Now()
		if status, _, _ := w.watch(0, 10*time.Second); status != http.StatusNotModified {
			t.Fatalf("status %d after the wait", status)
		}
		if took := time.Since(start); took < 10*time.Second || took > 11*time.Second {
			t.Fatalf("a watch of 10 s took %v", took)
		}
		w.mustPut(0, `1`, http.StatusOK)
		time.AfterFunc(5*time.Second, func() { w.store.Set("a/b", json.RawMessage(`2`)) })
		start = time.Now()
		if status, o, _ := w.watch(1, storeapi.MaxWait); status != http.StatusOK || o.Version != 2 {
			t.Fatalf("status %d, object %+v", status, o)
		}
		if took := time.Since(start); took > 5*time.Second+4*oneWay {
			t.Fatalf("the watch woke after %v", took)
		}
		start = time.Now()
		if status, o, _ := w.watch(1, storeapi.MaxWait); status != http.StatusOK || o.Version != 2 || time.Since(start) > 4*oneWay {
			t.Fatalf("status %d, object %+v of a watch for an update that is past", status, o)
		}
		if got := w.store.Calls().Watch; got != 3 {
			t.Fatalf("%d watches counted", got)
		}
	})
}

// Guards against a lost answer whose effect is lost too, or that hits more than
// the ordered number of calls.
func TestLostAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.store.LoseAnswers(1)
		if status, _, err := w.put(0, `1`); err == nil {
			t.Fatalf("answered with status %d", status)
		}
		if o, ok := w.store.Object("a/b"); !ok || o.Version != 1 {
			t.Fatalf("object %+v", o)
		}
		w.mustPut(1, `2`, http.StatusOK)
	})
}

// Guards against outages that answer calls, that leave watches pending, or
// after which the store is not reachable at its address.
func TestOutages(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.mustPut(0, `1`, http.StatusOK)
		watched := make(chan int)
		go func() {
			status, _, _ := w.watch(1, storeapi.MaxWait)
			watched <- status
		}()
		time.Sleep(time.Second)
		w.store.SetOutage(Refusing)
		if status := <-watched; status != 0 {
			t.Fatalf("a watch was answered with status %d during an outage", status)
		}
		if _, _, err := w.put(1, `2`); err == nil {
			t.Fatal("a call was answered during an outage")
		}
		w.store.SetOutage(Hanging)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, _, err := w.call(ctx, http.MethodGet, storeapi.PathObjects+"a/b", nil); err == nil {
			t.Fatal("a call was answered by a store that hangs")
		}
		time.AfterFunc(time.Hour, func() { w.store.SetOutage(InService) })
		w.mustPut(1, `3`, http.StatusOK)

		w.store.SetLatency(time.Second)
		start := time.Now()
		w.mustPut(2, `4`, http.StatusOK)
		if took := time.Since(start); took < time.Second {
			t.Fatalf("a slow store answered after %v", took)
		}
	})
}

// Guards against a list of VMs that is ahead of its lag or skips changes.
func TestListLags(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		listed := func() int { return len(w.store.vms.get(time.Now())) }
		w.store.SetVMs([]storeapi.VM{{Name: "v1"}})
		time.Sleep(30 * time.Second)
		w.store.SetVMs([]storeapi.VM{{Name: "v1"}, {Name: "v2"}})
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
