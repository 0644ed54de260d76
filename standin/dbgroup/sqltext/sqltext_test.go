package sqltext

import (
	"slices"
	"testing"
)

// Guards against statements parsed as another kind, arguments with wrong quoting
// or in the wrong order, and a split at a semicolon in a literal.
func TestParse(t *testing.T) {
	for _, test := range []struct {
		text   string
		params []string
		kind   Kind
		args   []string
		writes bool
	}{
		{"select value from kv where key = 'a;''b'", nil, SelectValue, []string{"a;'b"}, false},
		{"SELECT value FROM kv WHERE key=$1::text", []string{"k"}, SelectValue, []string{"k"}, false},
		{"SELECT\n count(*) FROM kv", nil, SelectCount, nil, false},
		{"/* route */ -- x\nSELECT 1", nil, SelectOne, nil, false},
		{"SELECT pg_sleep(0.25)", nil, SelectSleep, []string{"0.25"}, false},
		{"SELECT write_kv('k','v')", nil, SelectWriteKV, []string{"k", "v"}, true},
		{"INSERT INTO kv (key, value) VALUES ($2, $1) RETURNING value", []string{"v", "k"}, Insert, []string{"k", "v"}, true},
		{"UPSERT kv ('k', '')", nil, Upsert, []string{"k", ""}, true},
		{"UPDATE kv SET value = 'v' WHERE key = 'k'", nil, Update, []string{"k", "v"}, true},
		{"DELETE FROM kv WHERE key='k' RETURNING value", nil, Delete, []string{"k"}, true},
		{"APPEND log 'entry'", nil, Append, []string{"entry"}, true},
		{"BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY", nil, Begin, nil, false},
		{"start transaction read only", nil, Begin, nil, false},
		{"END", nil, Commit, nil, false},
		{"SET LOCAL my.setting TO 'x y'", nil, Set, nil, false},
		{"RESET ALL", nil, ResetAll, nil, false},
		{"RESET all_of_it", nil, Reset, nil, false},
	} {
		statements, err := Parse("; " + test.text + " ;")
		if err != nil || len(statements) != 1 {
			t.Errorf("%s: %d statements, %v", test.text, len(statements), err)
			continue
		}
		s := statements[0]
		args, err := s.Bind(test.params)
		if s.Kind != test.kind || err != nil || !slices.Equal(args, test.args) || s.Writes() != test.writes || s.Params() != len(test.params) {
			t.Errorf("%s: kind %d, args %q, writes %v, %d params, %v", test.text, s.Kind, args, s.Writes(), s.Params(), err)
		}
		if s.Kind == Begin && s.AccessMode != ReadOnly {
			t.Errorf("%s: mode %d", test.text, s.AccessMode)
		}
	}
	for _, text := range []string{"SELECT 2", "SELECT 1 x", "UPSERT kv ('k')", "APPEND log 'a' 'b'", "SELECT value FROM kv"} {
		if _, err := Parse(text); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
}
