package fleetwire

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Guards against fields that are lost or swapped by encoding and decoding.
func TestRoundTrip(t *testing.T) {
	stmt := &statement.RemoteStatement{
		Customer: "c", Group: "g", Server: "s", RequirePrimary: true, Tx: 7, BeginsTx: true, ReadOnlyTx: true, Timeout: 800 * time.Millisecond, Wait: 30 * time.Millisecond,
		Command:   statement.Command{ID: "1f", Verb: statement.Execute, Name: "p1", Payload: "a b", Writes: true, After: state.Point{Term: 3, Position: 9}, Term: 4},
		Values:    []statement.Value{{Name: "n", Data: "d"}, {Name: "m"}},
		Prepared:  &statement.Prepared{Name: "p1", Writes: true, Shape: "q"},
		Trace:     statement.Trace{TraceID: [16]byte{1, 15: 2}, SpanID: [8]byte{3, 7: 4}},
		Admission: &statement.Admission{Class: statement.Class{Route: 2, Customer: 1}, Kind: 65535, Objective: 150 * time.Millisecond},
	}
	gotStmt, err := DecodeStatement(AppendStatement(nil, stmt))
	if err != nil || !cmp.Equal(stmt, gotStmt) {
		t.Errorf("statement: %v\n%s", err, cmp.Diff(stmt, gotStmt))
	}
	result := statement.Result{PrimaryConfirmed: true, Tx: 9, Answer: statement.Answer{
		Code: statement.Failed, Text: "t", Rows: []string{"a", ""}, Signature: "s", State: statement.InTx, At: state.Point{Term: 1, Position: 2},
	}}
	gotResult, err := DecodeResult(AppendResult(nil, &result))
	if err != nil || !cmp.Equal(result, gotResult) {
		t.Errorf("result: %v\n%s", err, cmp.Diff(result, gotResult))
	}
	refused := statement.Result{Answer: statement.Refusal(statement.Busy, "t"), RetryAfter: 120 * time.Millisecond}
	if got, err := DecodeResult(AppendResult(nil, &refused)); err != nil || !cmp.Equal(refused, got) {
		t.Errorf("refusal: %v\n%s", err, cmp.Diff(refused, got))
	}
	pong := Pong{Lent: []catalog.LimitPartition{{Customer: "c", Index: 1}, {Customer: "d"}}, Lease: time.Second, Confirmations: []LeadershipConfirmation{{Group: "g", Server: "s", Point: state.Point{Term: 1, Position: 2}, Age: 3 * time.Millisecond}},
		Store: &StoreConfirmations{Servers: StoreConfirmation{Revision: 4, Age: 5 * time.Millisecond}, OutOfService: StoreConfirmation{Revision: 6, Age: 7 * time.Millisecond}}}
	gotPong, err := DecodePong(pong.Append(nil))
	if err != nil || !cmp.Equal(pong, gotPong) {
		t.Errorf("pong: %v\n%s", err, cmp.Diff(pong, gotPong))
	}
}

// Guards against eras that are lost or swapped, and against a pong that VMs of an earlier
// build cannot decode: they refuse bytes that they do not know.
func TestPongWithEras(t *testing.T) {
	pong := Pong{Store: &StoreConfirmations{Servers: StoreConfirmation{Revision: 4, Era: 2}, OutOfService: StoreConfirmation{Revision: 6, Era: 3}}}
	without := pong.Append(nil)
	pong.Store.Eras = true
	with := pong.Append(nil)
	got, err := DecodePong(with)
	if err != nil || !cmp.Equal(pong, got) {
		t.Errorf("pong: %v\n%s", err, cmp.Diff(pong, got))
	}
	if !bytes.HasPrefix(with, without) || len(with) != len(without)+2 {
		t.Errorf("the eras are not at the end: %v, without them %v", with, without)
	}
	if got, err = DecodePong(without); err != nil || got.Store.Eras {
		t.Errorf("pong without eras: %+v, %v", got.Store, err)
	}
}

// Guards against a pong whose unspent times belong to other shares, and against a number
// of them that is not that of the shares.
func TestPongWithUnspentShares(t *testing.T) {
	pong := Pong{Lent: []catalog.LimitPartition{{Customer: "c"}, {Customer: "d"}}, Store: &StoreConfirmations{Eras: true},
		Unspent: []time.Duration{300 * time.Millisecond, 0}}
	b := pong.Append(nil)
	got, err := DecodePong(b)
	if err != nil || !cmp.Equal(pong.Unspent, got.Unspent) {
		t.Errorf("unspent %v, %v", got.Unspent, err)
	}
	if _, err := DecodePong(b[:len(b)-1]); err == nil {
		t.Error("decoded a pong with one unspent time for two shares")
	}
}

// Guards against designations that are lost or swapped by encoding and decoding.
func TestFencingRoundTrip(t *testing.T) {
	state := fencing.State{Claim: 1001, Designations: []fencing.Designation{{Group: "g", Server: "s", Token: 1002}, {Group: "h", Server: "r", Token: 7}}}
	fence := Fence{State: state, Drain: 300 * time.Millisecond}
	if got, err := DecodeFence(fence.Append(nil)); err != nil || !cmp.Equal(fence, got) {
		t.Errorf("fence: %v\n%s", err, cmp.Diff(fence, got))
	}
	renewed := Renewed{Settled: true, State: state}
	if got, err := DecodeRenewed(renewed.Append(nil)); err != nil || !cmp.Equal(renewed, got) {
		t.Errorf("renewal: %v\n%s", err, cmp.Diff(renewed, got))
	}
	if got, err := DecodeFencingState(AppendFencingState(nil, &state)); err != nil || !cmp.Equal(state, got) {
		t.Errorf("state: %v\n%s", err, cmp.Diff(state, got))
	}
}

// Guards against ages that are rounded down: a confirmation would look fresher
// than it is.
func TestAgeIsRoundedUp(t *testing.T) {
	pong := Pong{Confirmations: []LeadershipConfirmation{{Age: 3*time.Millisecond + 1}}}
	got, err := DecodePong(pong.Append(nil))
	if err != nil || got.Confirmations[0].Age != 4*time.Millisecond {
		t.Errorf("age %v, %v", got.Confirmations[0].Age, err)
	}
}

// Guards against a crash when a newer VM sends codes, states or verbs that this
// version does not know.
func TestUnknownValuesAreRefused(t *testing.T) {
	const unknown = 0xee
	for name, answer := range map[string]statement.Answer{"code": {Code: unknown}, "state": {State: unknown}} {
		if r, err := DecodeResult(AppendResult(nil, &statement.Result{Answer: answer})); err == nil {
			t.Errorf("result with an unknown %s is decoded as %+v", name, r)
		}
	}
	for _, verb := range []statement.Verb{unknown, statement.Unknown} {
		if stmt, err := DecodeStatement(AppendStatement(nil, &statement.RemoteStatement{Command: statement.Command{Verb: verb}})); err == nil {
			t.Errorf("a statement with the unknown verb %d is decoded as %+v", verb, stmt)
		}
	}
}

// Guards against a crash on malformed messages.
func FuzzDecode(f *testing.F) {
	f.Add(AppendStatement(nil, &statement.RemoteStatement{Customer: "c", Command: statement.Command{Verb: statement.Read}, Values: []statement.Value{{Name: "n"}}}))
	f.Add(AppendResult(nil, &statement.Result{Answer: statement.Answer{Rows: []string{"a"}}}))
	f.Add((&Fence{State: fencing.State{Claim: 1, Designations: []fencing.Designation{{Group: "g", Server: "s", Token: 2}}}}).Append(nil))
	f.Add((&Pong{Lent: []catalog.LimitPartition{{Customer: "c"}}}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		if stmt, err := DecodeStatement(b); err == nil && stmt == nil {
			t.Error("DecodeStatement returned neither a statement nor an error")
		}
		DecodeResult(b)
		DecodePong(b)
		if p, _, err := DecodeTokenRequest(b); err == nil && p.Index >= catalog.LimitPartitions {
			t.Errorf("decoded the partition %d, which does not exist", p.Index)
		}
		DecodePartitions(b)
		DecodeFence(b)
		DecodeRenewed(b)
		DecodeFencingState(b)
		DecodeStatus(b)
		ReadFrame(bufio.NewReader(bytes.NewReader(b)))
	})
}

// Guards against a frame whose length makes a VM allocate all of its memory, and
// against frames without an ID.
func TestFrameBounds(t *testing.T) {
	good := Frame{Kind: KindStatement, ID: 300, Body: []byte("body")}
	got, err := ReadFrame(bufio.NewReader(bytes.NewReader(good.Append(nil))))
	if err != nil || !cmp.Equal(good, got) {
		t.Errorf("frame: %v %+v", err, got)
	}
	for _, bad := range [][]byte{{0xff, 0xff, 0xff, 0xff, 1, 1}, {0, 0, 0, 1, 1}, {0, 0, 0, 3, 1, 0x80, 0x80}} {
		if f, err := ReadFrame(bufio.NewReader(bytes.NewReader(bad))); err == nil {
			t.Errorf("%v is decoded as %+v", bad, f)
		}
	}
}
