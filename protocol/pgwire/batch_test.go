package pgwire

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Guards against routing a write as a read because of its first words, and against
// accepting statements whose effect on a pooled connection outlives their
// transaction.
func TestAnalyseSimpleQuery(t *testing.T) {
	tests := []struct {
		sql         string
		class       state.Class
		unsupported bool
	}{
		{"SELECT 1", state.ClassRead, false},
		{"  -- stock\n select 1;", state.ClassRead, false},
		{"/* a /* nested */ comment */ (SELECT 1)", state.ClassRead, false},
		{"SELECT 1; DELETE FROM kv", state.ClassWrite, false},
		{"WITH x AS (DELETE FROM kv RETURNING 1) SELECT * FROM x", state.ClassRead, false}, // refused by the read-only mode
		{"insert into kv values (1)", state.ClassWrite, false},
		{"BEGIN", state.ClassBegin, false},
		{"START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY", state.ClassBeginRO, false},
		{"BEGIN READ ONLY; INSERT INTO kv VALUES (1)", state.ClassWrite, false},
		{"COMMIT", state.ClassEnd, false},
		{"END", state.ClassEnd, false},
		{"ROLLBACK", state.ClassRollback, false},
		{"ROLLBACK TO SAVEPOINT a", state.ClassWrite, false},
		{"COMMIT PREPARED 'x'", state.ClassEnd, true},
		{"CREATE TEMPORARY TABLE t (a int)", state.ClassWrite, true},
		{"DECLARE c CURSOR WITH HOLD FOR SELECT 1", state.ClassWrite, true},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", state.ClassWrite, true},
		{"SET LOCAL work_mem = '1MB'", state.ClassWrite, false},
		{"", state.ClassRead, false},
		{"/* not closed", state.ClassRead, false},
	}
	for _, tt := range tests {
		t.Run(tt.sql, func(t *testing.T) {
			b := &Batch{Messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: tt.sql}}}
			PreparedStatements{}.Analyse(b)
			if b.Class != tt.class || (b.Unsupported != "") != tt.unsupported {
				t.Errorf("got class %d, unsupported %q", b.Class, b.Unsupported)
			}
		})
	}
}

// Guards against routing a batch by only one of its statements.
func TestAnalyseExtendedBatch(t *testing.T) {
	session := PreparedStatements{"read": {Name: "read", Query: "SELECT 1"}}
	tests := []struct {
		name     string
		messages []pgproto3.FrontendMessage
		class    state.Class
		used     []string
	}{
		{"describe only", []pgproto3.FrontendMessage{&pgproto3.Parse{Name: "w", Query: "DELETE FROM kv"}}, state.ClassRead, nil},
		{"prepared read", []pgproto3.FrontendMessage{&pgproto3.Bind{PreparedStatement: "read"}}, state.ClassRead, []string{"read"}},
		{"read and write", []pgproto3.FrontendMessage{
			&pgproto3.Bind{PreparedStatement: "read"},
			&pgproto3.Parse{Query: "DELETE FROM kv"}, &pgproto3.Bind{},
		}, state.ClassWrite, []string{"read"}},
		{"read-only transaction that commits", []pgproto3.FrontendMessage{
			&pgproto3.Parse{Query: "BEGIN READ ONLY"}, &pgproto3.Bind{},
			&pgproto3.Bind{PreparedStatement: "read"},
		}, state.ClassBegin, []string{"read"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &Batch{Messages: tt.messages}
			session.Analyse(b)
			if b.Class != tt.class {
				t.Errorf("got class %d, want %d", b.Class, tt.class)
			}
			if diff := cmp.Diff(tt.used, b.Used); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against replaying other statements together with the settings of a session:
// only a SET that is the single statement of its batch is replayed.
func TestSettings(t *testing.T) {
	tests := []struct {
		sql  string
		want *Setting
	}{
		{"SET work_mem = '1MB'", &Setting{Name: "work_mem", Statement: "SET work_mem = '1MB'"}},
		{"SET SESSION work_mem TO 4", &Setting{Name: "work_mem", Statement: "SET SESSION work_mem TO 4"}},
		{"SET work_mem = 4; DELETE FROM kv", nil},
		{"RESET work_mem", &Setting{Verb: ResetVerb, Name: "work_mem", Statement: "RESET work_mem"}},
		{"SET chestnutdyke.max_staleness TO '5s';", &Setting{Name: SettingMaxStaleness, Value: "5s", Statement: "SET chestnutdyke.max_staleness TO '5s';"}},
		{"SHOW chestnutdyke.session", &Setting{Verb: ShowVerb, Name: SettingSession, Statement: "SHOW chestnutdyke.session"}},
		{"SHOW work_mem", nil},
	}
	for _, tt := range tests {
		b := &Batch{Messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: tt.sql}}}
		PreparedStatements{}.Analyse(b)
		if diff := cmp.Diff(tt.want, b.Setting); diff != "" {
			t.Errorf("%s: %s", tt.sql, diff)
		}
	}
}

// Guards against ignored hints, and against hints found outside the leading comment.
func TestHints(t *testing.T) {
	got := parseHints("/* chestnutdyke.max_staleness=500ms chestnutdyke.idempotent=on */ SELECT 1")
	if diff := cmp.Diff(Hints{MaxStaleness: 500 * time.Millisecond, Idempotent: true}, got); diff != "" {
		t.Error(diff)
	}
	if got := parseHints("SELECT '/* chestnutdyke.idempotent=on */'"); got != (Hints{}) {
		t.Errorf("hint found in a literal: %v", got)
	}
}

// Guards against a panic on arbitrary statements from a client.
func FuzzAnalyse(f *testing.F) {
	f.Add("SELECT 1; -- x")
	f.Add("SET chestnutdyke.session = 'a''b'")
	f.Add("SET chestnutdyke")
	f.Add("/* /* */ SET")
	f.Fuzz(func(t *testing.T, sql string) {
		b := &Batch{Messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: sql}}}
		PreparedStatements{}.Analyse(b)
		e := &Batch{Messages: []pgproto3.FrontendMessage{&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Sync{}}}
		PreparedStatements{}.Analyse(e)
	})
}

// Guards against treating a batch that may commit as one that cannot: it would be
// retried, or reported as rolled back, after it took effect.
func TestMayCommit(t *testing.T) {
	query := func(sql string) *Batch {
		return &Batch{Messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: sql}}}
	}
	pipeline := func(statements ...string) *Batch {
		b := &Batch{}
		for _, sql := range statements {
			b.Messages = append(b.Messages, &pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{})
		}
		b.Messages = append(b.Messages, &pgproto3.Sync{})
		return b
	}
	tests := []struct {
		name      string
		batch     *Batch
		class     state.Class
		mayCommit bool
	}{
		{"whole transaction", query("BEGIN; INSERT INTO kv VALUES (1); commit"), state.ClassWrite, true},
		{"write and commit", query("INSERT INTO kv VALUES (1);\n/* ; */ END"), state.ClassWrite, true},
		{"rollback and write", query("ROLLBACK; INSERT INTO kv VALUES (1)"), state.ClassWrite, true},
		{"commit and begin", query("COMMIT; BEGIN"), state.ClassWrite, true},
		{"begin and write", query("BEGIN; INSERT INTO kv VALUES (1)"), state.ClassWrite, false},
		{"one commit", query("COMMIT"), state.ClassEnd, false},
		{"pipeline with commit", pipeline("BEGIN", "INSERT INTO kv VALUES (1)", "COMMIT"), state.ClassEnd, true},
		{"pipeline with rollback", pipeline("ROLLBACK", "INSERT INTO kv VALUES (1)"), state.ClassRollback, true},
		{"pipeline of writes", pipeline("INSERT INTO kv VALUES (1)", "INSERT INTO kv VALUES (2)"), state.ClassWrite, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			PreparedStatements{}.Analyse(tt.batch)
			if tt.batch.Class != tt.class || tt.batch.MayCommit != tt.mayCommit {
				t.Errorf("got class %d, may commit %v; want %d, %v", tt.batch.Class, tt.batch.MayCommit, tt.class, tt.mayCommit)
			}
		})
	}
}
