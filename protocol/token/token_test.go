package token

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/state"
)

var secret = []byte("fleet secret")

// Guards against accepting a token that was forged, modified, or issued to
// another customer.
func TestDecode(t *testing.T) {
	points := state.Token{"ledger": {Term: 3, Position: 17}, "orders": {Term: 1 << 40, Position: 2}}
	good := Encode(secret, "bindery", points)
	tests := []struct {
		name, customer, text string
		want                 Verdict
	}{
		{"own token", "bindery", good, Valid},
		{"no writes", "bindery", "", Valid},
		{"token of another customer", "archive", good, OtherCustomer},
		{"signed by another fleet", "bindery", Encode([]byte("other"), "bindery", points), Invalid},
		{"signature cut off", "bindery", good[:len(good)-4], Invalid},
		{"body changed", "bindery", "A" + good[1:], Invalid},
		{"no signature", "bindery", "e30", Invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, verdict := Decode(secret, tt.customer, tt.text)
			if verdict != tt.want {
				t.Fatalf("verdict %d, want %d", verdict, tt.want)
			}
			if tt.text == good && verdict == Valid {
				if diff := cmp.Diff(points, got); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

// Guards against a panic on arbitrary input from a client, and against accepting
// a token whose points do not survive re-encoding.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(secret, "bindery", state.Token{"ledger": {Term: 3, Position: 17}}))
	f.Add("e30.e30")
	f.Fuzz(func(t *testing.T, text string) {
		points, verdict := Decode(secret, "bindery", text)
		if verdict == Valid && text != "" {
			if _, again := Decode(secret, "bindery", Encode(secret, "bindery", points)); again != Valid {
				t.Fatalf("accepted %q but not its re-encoding", text)
			}
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	secret := []byte("secret-of-the-fleet")
	t := state.Token{"ledger-1": {Term: 1 << 16, Position: 12345}}
	b.ReportAllocs()
	for b.Loop() {
		Encode(secret, "bindery", t)
	}
}
