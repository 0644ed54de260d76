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

// order sends an order to the control interface of a server and returns its
// response. It returns an error if there is no valid response.
func (env *testEnv) order(ctx context.Context, server, path string, o groupapi.Order) (groupapi.Response, error) {
	env.t.Helper()
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return env.client.Dial(ctx, address)
		},
	}
	body, err := json.Marshal(o)
	if err != nil {
		env.t.Fatal(err)
	}
	url := "http://" + env.group.Server(server).ControlAddress() + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		env.t.Fatal(err)
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return groupapi.Response{}, err
	}
	defer resp.Body.Close()
	var a groupapi.Response
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		env.t.Errorf("%s: status %d without a valid response: %v", path, resp.StatusCode, err)
		return a, err
	}
	if (resp.StatusCode == http.StatusConflict) != (a.Refused != "") {
		env.t.Fatalf("%s: status %d with reason %q", path, resp.StatusCode, a.Refused)
	}
	return a, nil
}

// mustOrder sends an order and fails the test if it is refused.
func (env *testEnv) mustOrder(server, path string, o groupapi.Order) state.ServerStatus {
	env.t.Helper()
	a, err := env.order(context.Background(), server, path, o)
	if err != nil || a.Refused != "" {
		env.t.Fatalf("%s %s %+v: %q, %v", server, path, o, a.Refused, err)
	}
	return a.Status
}

// mustRefuse sends an order and fails the test unless it is refused.
func (env *testEnv) mustRefuse(server, path string, o groupapi.Order) {
	env.t.Helper()
	a, err := env.order(context.Background(), server, path, o)
	if err != nil || a.Refused == "" {
		env.t.Fatalf("%s %s %+v was not refused: %v", server, path, o, err)
	}
}

// waitReplication waits until all records that can be replicated have arrived.
func (env *testEnv) waitReplication() {
	time.Sleep(2 * replicationDelay)
	synctest.Wait()
}

func (env *testEnv) wantEntries(server string, want ...string) {
	env.t.Helper()
	env.wantRows(env.group.Server(server).Entries(), want...)
}

// Guards against replicas that show data before its record arrives, lose records
// that were held back, or receive records of an isolated primary.
func TestReplicasLag(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, env *testEnv) {
		c, replica := env.mustConnect("a"), env.mustConnect("b")
		env.mustExec(c, "APPEND log '1'")
		env.wantRows(env.mustExec(replica, "SELECT entry FROM log"))
		env.waitReplication()
		env.wantRows(env.mustExec(replica, "SELECT entry FROM log"), "1")

		env.group.Server("b").HoldReplication(true)
		env.mustExec(c, "APPEND log '2'; APPEND log '3'")
		env.waitReplication()
		env.wantEntries("b", "1")
		env.wantEntries("c", "1", "2", "3")
		env.group.Server("b").HoldReplication(false)
		synctest.Wait()
		env.wantEntries("b", "1", "2", "3")

		env.group.Server("a").IsolateReplication(true)
		env.mustExec(c, "APPEND log '4'")
		env.waitReplication()
		env.wantEntries("c", "1", "2", "3")
		if st := env.mustOrder("c", groupapi.PathStatus, groupapi.Order{}); st.Position != 3 || st.Primary != "a" || st.Role != state.Replica {
			t.Fatalf("status %+v", st)
		}
	})
}

// Guards against a promotion that loses replicated writes, against a deposed
// primary that keeps the log tail that the new primary lacks, and against a
// SurvivingCommits that returns truncated commits.
func TestPromotionDropsUnreplicatedTail(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, env *testEnv) {
		c := env.mustConnect("a")
		env.mustExec(c, "APPEND log 'kept'")
		env.waitReplication()
		env.group.Server("a").IsolateReplication(true)
		env.mustExec(c, "APPEND log 'lost'; UPSERT kv ('k', 'lost')")
		env.mustExec(c, "APPEND log 'lost too'")

		const term = 2 << 16
		env.mustOrder("b", groupapi.PathAdopt, groupapi.Order{Term: term})
		env.mustOrder("c", groupapi.PathAdopt, groupapi.Order{Term: term})
		st := env.mustOrder("b", groupapi.PathPromote, groupapi.Order{Term: term})
		want := []state.TermStart{{Term: 1, Position: 0}, {Term: term, Position: 2}}
		if st.Role != state.Primary || st.LogTerm != term || st.Position != 3 || !slices.Equal(st.History, want) {
			t.Fatalf("status after promotion %+v", st)
		}
		env.mustOrder("c", groupapi.PathFollow, groupapi.Order{Term: term, Server: "b"})
		env.mustExec(env.mustConnect("b"), "APPEND log 'new'")
		env.mustExec(c, "APPEND log 'old primary'")

		env.mustOrder("a", groupapi.PathFollow, groupapi.Order{Term: term, Server: "b"})
		_, err := exec(c, "APPEND log 'x'")
		env.wantCode(err, codeReadOnly)
		env.group.Server("a").IsolateReplication(false)
		env.waitReplication()
		for _, s := range []string{"a", "b", "c"} {
			env.wantEntries(s, "kept", "new")
		}
		if _, exists := env.group.Server("a").Value("k"); exists {
			t.Fatal("the dropped tail still shows")
		}
		if all, kept := len(env.group.Commits()), len(env.group.SurvivingCommits("b")); all != 5 || kept != 2 {
			t.Fatalf("%d commits of which %d survive, want 5 and 2", all, kept)
		}
	})
}

// Guards against two primaries in one term, and against orders of a lower term
// than the adopted one, which a coordinator sends whose term was superseded.
func TestTermsFenceOldPrimaries(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, env *testEnv) {
		env.mustRefuse("b", groupapi.PathPromote, groupapi.Order{Term: 1})
		env.mustRefuse("b", groupapi.PathAdopt, groupapi.Order{Term: 1})
		env.mustOrder("b", groupapi.PathAdopt, groupapi.Order{Term: 5})
		env.mustRefuse("b", groupapi.PathAdopt, groupapi.Order{Term: 5})
		env.mustRefuse("b", groupapi.PathPromote, groupapi.Order{Term: 4})
		env.mustRefuse("b", groupapi.PathFollow, groupapi.Order{Term: 4, Server: "a"})
		env.mustRefuse("b", groupapi.PathFollow, groupapi.Order{Term: 5, Server: "nobody"})

		env.mustExec(env.mustConnect("a"), "APPEND log '1'")
		env.waitReplication()
		env.wantEntries("b") // refuses records of term 1
		env.wantEntries("c", "1")
		env.mustOrder("a", groupapi.PathAdopt, groupapi.Order{Term: 6})
		_, err := exec(env.mustConnect("a"), "APPEND log '2'")
		env.wantCode(err, codeReadOnly)
		if env.group.Primary() != nil {
			t.Fatal("a primary is left after a higher term was adopted")
		}
	})
}

// Guards against the commit of a write that was in progress when its server
// adopted a higher term or was stopped.
func TestWriteInProgressDoesNotCommitAfterFencing(t *testing.T) {
	slowStatements := func(o *Options) { o.Servers[0].StatementDuration = 10 * time.Millisecond }
	inBubble(t, slowStatements, func(t *testing.T, env *testEnv) {
		tx := env.mustConnect("a")
		env.mustExec(tx, "BEGIN; APPEND log 'transaction'")
		c := env.mustConnect("a")
		result := make(chan error)
		go func() {
			_, err := exec(c, "APPEND log 'statement'")
			result <- err
		}()
		time.Sleep(time.Millisecond)
		env.mustOrder("a", groupapi.PathAdopt, groupapi.Order{Term: 2})
		env.wantCode(<-result, codeSerializationFailure)
		_, err := exec(tx, "COMMIT")
		env.wantCode(err, codeSerializationFailure)

		env.mustOrder("a", groupapi.PathPromote, groupapi.Order{Term: 2})
		go func() {
			_, err := exec(c, "APPEND log 'stopped'")
			result <- err
		}()
		time.Sleep(5 * time.Millisecond)
		env.group.Server("a").Stop()
		if err := env.group.Server("a").Start(); err != nil {
			t.Fatal(err)
		}
		if err := <-result; err == nil {
			t.Fatal("a write was answered by a server that was stopped")
		}
		time.Sleep(time.Second)
		if len(env.group.Commits()) != 0 {
			t.Fatalf("commits %+v", env.group.Commits())
		}
		env.mustExec(env.mustConnect("a"), "APPEND log 'after'")
	})
}

// Guards against a promotion that is missing from the history, from which other
// tests reconstruct the logs.
func TestTermStartsAreRecorded(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, env *testEnv) {
		env.mustExec(env.mustConnect("a"), "APPEND log '1'")
		time.Sleep(time.Second)
		env.mustOrder("b", groupapi.PathAdopt, groupapi.Order{Term: 7})
		env.mustOrder("b", groupapi.PathPromote, groupapi.Order{Term: 7})
		env.mustOrder("b", groupapi.PathPromote, groupapi.Order{Term: 7})
		want := []TermStart{
			{Server: "a", Term: 1},
			{Server: "b", Term: 7, Base: state.Point{Term: 1, Position: 2}},
		}
		if got := env.group.TermStarts(); !slices.Equal(got, want) {
			t.Errorf("term starts %+v, want %+v", got, want)
		}
	})
}

// Guards against a switchover that aborts an open writing transaction, admits new
// ones, or is reported complete before the target holds the whole log.
func TestSwitchover(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, env *testEnv) {
		env.mustRefuse("b", groupapi.PathSwitchover, groupapi.Order{Term: 1, Server: "c"})
		env.mustRefuse("a", groupapi.PathSwitchover, groupapi.Order{Term: 2, Server: "b"})
		writer, other := env.mustConnect("a"), env.mustConnect("a")
		env.mustExec(writer, "BEGIN; APPEND log '1'")
		env.group.Server("b").HoldReplication(true)

		responses := make(chan groupapi.Response)
		go func() {
			a, _ := env.order(context.Background(), "a", groupapi.PathSwitchover, groupapi.Order{Term: 1, Server: "b"})
			responses <- a
		}()
		time.Sleep(20 * time.Millisecond)
		_, err := exec(other, "APPEND log 'refused'")
		env.wantCode(err, codeReadOnly)
		if got := env.group.Server("a").Status().SwitchingTo; got != "b" {
			t.Errorf("status says that the server hands over to %q, want b", got)
		}
		env.mustExec(writer, "APPEND log '2'; COMMIT")
		time.Sleep(time.Second)
		select {
		case <-responses:
			t.Fatal("the response came before the other server held the log")
		default:
		}
		env.group.Server("b").HoldReplication(false)
		if a := <-responses; a.Refused != "" || a.Status.Position != env.group.Server("b").Status().Position {
			t.Fatalf("response %+v", a)
		}
		env.mustOrder("a", groupapi.PathResume, groupapi.Order{Term: 1})
		if got := env.group.Server("a").Status().SwitchingTo; got != "" {
			t.Errorf("status says that the server still hands over to %q", got)
		}
		env.mustExec(other, "APPEND log '3'")
	})
}
