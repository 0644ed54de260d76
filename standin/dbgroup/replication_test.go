package dbgroup

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/groupapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// order sends an order over the control interface.
func (w *world) order(ctx context.Context, server, path string, o groupapi.Order) (groupapi.Answer, error) {
	w.t.Helper()
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return w.client.Dial(ctx, address)
		},
	}
	body, err := json.Marshal(o)
	if err != nil {
		w.t.Fatal(err)
	}
	url := "http://" + w.group.Server(server).ControlAddress() + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return groupapi.Answer{}, err
	}
	defer resp.Body.Close()
	var a groupapi.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		w.t.Errorf("%s: status %d without an answer: %v", path, resp.StatusCode, err)
		return a, err
	}
	if (resp.StatusCode == http.StatusConflict) != (a.Refused != "") {
		w.t.Fatalf("%s: status %d with reason %q", path, resp.StatusCode, a.Refused)
	}
	return a, nil
}

// must sends an order that has to be carried out.
func (w *world) must(server, path string, o groupapi.Order) state.ServerStatus {
	w.t.Helper()
	a, err := w.order(context.Background(), server, path, o)
	if err != nil || a.Refused != "" {
		w.t.Fatalf("%s %s %+v: %q, %v", server, path, o, a.Refused, err)
	}
	return a.Status
}

// refused sends an order that has to be refused.
func (w *world) refused(server, path string, o groupapi.Order) {
	w.t.Helper()
	a, err := w.order(context.Background(), server, path, o)
	if err != nil || a.Refused == "" {
		w.t.Fatalf("%s %s %+v was not refused: %v", server, path, o, err)
	}
}

// replicate waits until all that can be replicated is.
func (w *world) replicate() {
	time.Sleep(2 * replicationDelay)
	synctest.Wait()
}

func (w *world) wantEntries(server string, want ...string) {
	w.t.Helper()
	w.wantRows(w.group.Server(server).Entries(), want...)
}

// Guards against replicas that show data before its record arrives, that lose
// records held back, or that get those of an isolated primary.
func TestReplicasLag(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, w *world) {
		c, replica := w.mustConnect("a"), w.mustConnect("b")
		w.mustExec(c, "APPEND log '1'")
		w.wantRows(w.mustExec(replica, "SELECT entry FROM log"))
		w.replicate()
		w.wantRows(w.mustExec(replica, "SELECT entry FROM log"), "1")

		w.group.Server("b").HoldReplication(true)
		w.mustExec(c, "APPEND log '2'; APPEND log '3'")
		w.replicate()
		w.wantEntries("b", "1")
		w.wantEntries("c", "1", "2", "3")
		w.group.Server("b").HoldReplication(false)
		synctest.Wait()
		w.wantEntries("b", "1", "2", "3")

		w.group.Server("a").IsolateReplication(true)
		w.mustExec(c, "APPEND log '4'")
		w.replicate()
		w.wantEntries("c", "1", "2", "3")
		if st := w.must("c", groupapi.PathStatus, groupapi.Order{}); st.Position != 3 || st.Primary != "a" || st.Role != state.Replica {
			t.Fatalf("status %+v", st)
		}
	})
}

// Guards against an acknowledged write that a promotion loses, a tail that a
// deposed primary keeps, and a history that does not tell the two apart.
func TestPromotionDropsTheTail(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, w *world) {
		c := w.mustConnect("a")
		w.mustExec(c, "APPEND log 'kept'")
		w.replicate()
		w.group.Server("a").IsolateReplication(true)
		w.mustExec(c, "APPEND log 'lost'; UPSERT kv ('k', 'lost')")
		w.mustExec(c, "APPEND log 'lost too'")

		const term = 2 << 16
		w.must("b", groupapi.PathAdopt, groupapi.Order{Term: term})
		w.must("c", groupapi.PathAdopt, groupapi.Order{Term: term})
		st := w.must("b", groupapi.PathPromote, groupapi.Order{Term: term})
		want := []state.TermStart{{Term: 1, Position: 0}, {Term: term, Position: 2}}
		if st.Role != state.Primary || st.LogTerm != term || st.Position != 3 || !slices.Equal(st.History, want) {
			t.Fatalf("status after promotion %+v", st)
		}
		w.must("c", groupapi.PathFollow, groupapi.Order{Term: term, Server: "b"})
		w.mustExec(w.mustConnect("b"), "APPEND log 'new'")
		w.mustExec(c, "APPEND log 'old primary'")

		w.must("a", groupapi.PathFollow, groupapi.Order{Term: term, Server: "b"})
		_, err := exec(c, "APPEND log 'x'")
		w.wantCode(err, codeReadOnly)
		w.group.Server("a").IsolateReplication(false)
		w.replicate()
		for _, s := range []string{"a", "b", "c"} {
			w.wantEntries(s, "kept", "new")
		}
		if _, exists := w.group.Server("a").Value("k"); exists {
			t.Fatal("the dropped tail still shows")
		}
		if all, kept := len(w.group.Commits()), len(w.group.Survivors("b")); all != 5 || kept != 2 {
			t.Fatalf("%d commits of which %d survive, want 5 and 2", all, kept)
		}
	})
}

// Guards against two servers that accept writes under one term, and against
// orders of a promoter that has lost.
func TestTermsFence(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, w *world) {
		w.refused("b", groupapi.PathPromote, groupapi.Order{Term: 1})
		w.refused("b", groupapi.PathAdopt, groupapi.Order{Term: 1})
		w.must("b", groupapi.PathAdopt, groupapi.Order{Term: 5})
		w.refused("b", groupapi.PathAdopt, groupapi.Order{Term: 5})
		w.refused("b", groupapi.PathPromote, groupapi.Order{Term: 4})
		w.refused("b", groupapi.PathFollow, groupapi.Order{Term: 4, Server: "a"})
		w.refused("b", groupapi.PathFollow, groupapi.Order{Term: 5, Server: "nobody"})

		w.mustExec(w.mustConnect("a"), "APPEND log '1'")
		w.replicate()
		w.wantEntries("b") // refuses records of term 1
		w.wantEntries("c", "1")
		w.must("a", groupapi.PathAdopt, groupapi.Order{Term: 6})
		_, err := exec(w.mustConnect("a"), "APPEND log '2'")
		w.wantCode(err, codeReadOnly)
		if w.group.Primary() != nil {
			t.Fatal("a primary is left after a higher term was adopted")
		}
	})
}

// Guards against a write that commits on a primary which adopted a higher term
// while the write executed, or was stopped.
func TestWriteInProgressDoesNotCommitAfterFencing(t *testing.T) {
	slow := func(o *Options) { o.Servers[0].StatementCost = 10 * time.Millisecond }
	inBubble(t, slow, func(t *testing.T, w *world) {
		tx := w.mustConnect("a")
		w.mustExec(tx, "BEGIN; APPEND log 'transaction'")
		c := w.mustConnect("a")
		result := make(chan error)
		go func() {
			_, err := exec(c, "APPEND log 'statement'")
			result <- err
		}()
		time.Sleep(time.Millisecond)
		w.must("a", groupapi.PathAdopt, groupapi.Order{Term: 2})
		w.wantCode(<-result, codeRolledBack)
		_, err := exec(tx, "COMMIT")
		w.wantCode(err, codeRolledBack)

		w.must("a", groupapi.PathPromote, groupapi.Order{Term: 2})
		go func() {
			_, err := exec(c, "APPEND log 'stopped'")
			result <- err
		}()
		time.Sleep(5 * time.Millisecond)
		w.group.Server("a").Stop()
		if err := w.group.Server("a").Start(); err != nil {
			t.Fatal(err)
		}
		if err := <-result; err == nil {
			t.Fatal("a write was answered by a server that was stopped")
		}
		time.Sleep(time.Second)
		if len(w.group.Commits()) != 0 {
			t.Fatalf("commits %+v", w.group.Commits())
		}
		w.mustExec(w.mustConnect("a"), "APPEND log 'after'")
	})
}

// Guards against a promotion that is missing from the history, from which tests
// work out what each log held.
func TestTermStartsAreRecorded(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, w *world) {
		w.mustExec(w.mustConnect("a"), "APPEND log '1'")
		time.Sleep(time.Second)
		w.must("b", groupapi.PathAdopt, groupapi.Order{Term: 7})
		w.must("b", groupapi.PathPromote, groupapi.Order{Term: 7})
		w.must("b", groupapi.PathPromote, groupapi.Order{Term: 7})
		want := []TermStart{
			{Server: "a", Term: 1},
			{Server: "b", Term: 7, Base: state.Point{Term: 1, Position: 2}},
		}
		if got := w.group.TermStarts(); !slices.Equal(got, want) {
			t.Errorf("term starts %+v, want %+v", got, want)
		}
	})
}

// Guards against a switchover that cuts off a transaction, accepts writes after
// its answer, or answers before the other server holds the whole log.
func TestSwitchover(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, w *world) {
		w.refused("b", groupapi.PathSwitchover, groupapi.Order{Term: 1, Server: "c"})
		w.refused("a", groupapi.PathSwitchover, groupapi.Order{Term: 2, Server: "b"})
		open, c := w.mustConnect("a"), w.mustConnect("a")
		w.mustExec(open, "BEGIN; APPEND log '1'")
		w.group.Server("b").HoldReplication(true)

		answered := make(chan groupapi.Answer)
		go func() {
			a, _ := w.order(context.Background(), "a", groupapi.PathSwitchover, groupapi.Order{Term: 1, Server: "b"})
			answered <- a
		}()
		time.Sleep(20 * time.Millisecond)
		_, err := exec(c, "APPEND log 'refused'")
		w.wantCode(err, codeReadOnly)
		if got := w.group.Server("a").Status().SwitchingTo; got != "b" {
			t.Errorf("status says that the server hands over to %q, want b", got)
		}
		w.mustExec(open, "APPEND log '2'; COMMIT")
		time.Sleep(time.Second)
		select {
		case <-answered:
			t.Fatal("answered before the other server held the log")
		default:
		}
		w.group.Server("b").HoldReplication(false)
		if a := <-answered; a.Refused != "" || a.Status.Position != w.group.Server("b").Status().Position {
			t.Fatalf("answer %+v", a)
		}
		w.must("a", groupapi.PathResume, groupapi.Order{Term: 1})
		if got := w.group.Server("a").Status().SwitchingTo; got != "" {
			t.Errorf("status says that the server still hands over to %q", got)
		}
		w.mustExec(c, "APPEND log '3'")
	})
}
