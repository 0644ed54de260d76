// Package pgwire translates between the PostgreSQL wire protocol (version 3) and
// the requests and answers of package session. It does no network I/O.
package pgwire

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// MaxBatchBytes is the size limit of a request. Larger ones are refused.
const MaxBatchBytes = 16 << 20

// Batch is one request of a client: a simple query, or the messages of the
// extended protocol up to a Sync.
type Batch struct {
	Messages []pgproto3.FrontendMessage
	// SyncPending reports that the batch ends with a Flush, which is refused, and that
	// its Sync follows later. The refusal is not followed by a ReadyForQuery.
	SyncPending bool
	// IsSync reports that the batch consists of a single Sync. Such a batch may
	// have no Messages and must not be analysed.
	IsSync bool

	// The fields below are set by PreparedStatements.Analyse.

	Class state.Class
	// MayCommit reports that the batch has several statements, one of which may end
	// a transaction.
	MayCommit bool
	// OnlyBegins reports that the batch begins a transaction and does nothing else,
	// except that it may end an earlier transaction first. It is false for a
	// read-only transaction.
	OnlyBegins bool
	Hints      Hints
	// Unsupported is the reason why the batch must be refused. It is empty if the
	// batch may run.
	Unsupported string
	// Setting is set if the only statement of the batch sets or resets a session
	// setting, or if the batch is a simple query that shows one of the proxy's
	// settings.
	Setting *Setting
	// Parsed lists the statements that the batch prepares, in order.
	Parsed []*pgproto3.Parse
	// Used lists the names of prepared statements that the batch refers to without
	// having prepared them first.
	Used []string
	// Closed lists the names of prepared statements that the batch closes.
	Closed []string
}

// Framer groups the messages of one client into batches.
type Framer struct {
	batch    *Batch // incomplete batch; nil if none
	size     int    // encoded size of batch in bytes
	skipping bool   // the batch was refused; discard messages up to its Sync
}

// Add adds a message, whose encoded size is given in bytes. The caller must not
// reuse the message. Add returns the batch that the message completes, or nil. It
// fails if a batch of the extended protocol is larger than MaxBatchBytes. The reader
// of the connection limits the size of a Query.
func (f *Framer) Add(msg pgproto3.FrontendMessage, size int) (*Batch, error) {
	if f.skipping {
		return f.skipToSync(msg), nil
	}
	if _, ok := msg.(*pgproto3.Query); ok {
		return &Batch{Messages: []pgproto3.FrontendMessage{msg}}, nil
	}
	if f.batch == nil {
		f.batch, f.size = &Batch{}, 0
	}
	f.size += size
	if f.size > MaxBatchBytes {
		return nil, fmt.Errorf("request is larger than %d bytes", MaxBatchBytes)
	}
	b := f.batch
	b.Messages = append(b.Messages, msg)
	switch msg.(type) {
	case *pgproto3.Sync:
		f.batch = nil
		b.IsSync = len(b.Messages) == 1
		return b, nil
	case *pgproto3.Flush:
		// The client waits for the answers to its messages before it sends the Sync.
		b.SyncPending = true
		f.batch, f.skipping = nil, true
		return b, nil
	}
	return nil, nil
}

// skipToSync discards messages up to the Sync of a refused batch. It returns the
// Sync as a batch of its own.
func (f *Framer) skipToSync(msg pgproto3.FrontendMessage) *Batch {
	if _, ok := msg.(*pgproto3.Sync); !ok {
		return nil
	}
	f.skipping = false
	return &Batch{IsSync: true}
}

// PreparedStatements are the prepared statements of a session by name.
type PreparedStatements map[string]*pgproto3.Parse

// RecordPrepared records that the first n Parse messages of a batch succeeded.
func (s PreparedStatements) RecordPrepared(b *Batch, n int) {
	for _, name := range b.Closed {
		delete(s, name)
	}
	for _, p := range b.Parsed[:min(n, len(b.Parsed))] {
		s[p.Name] = p
	}
}

// Analyse sets the fields of a batch that describe what it does. It looks only at
// the first keywords of each statement.
func (s PreparedStatements) Analyse(b *Batch) {
	if q, ok := b.Messages[0].(*pgproto3.Query); ok {
		analyseSimpleQuery(b, q.String)
		return
	}
	a := analysis{batch: b, session: s, parsed: make(PreparedStatements)}
	b.Class = state.ClassRead
	for _, msg := range b.Messages {
		a.addMessage(msg)
	}
}

func analyseSimpleQuery(b *Batch, sql string) {
	st := classify(sql)
	b.Class, b.Unsupported = st.class, st.unsupported
	b.Hints = parseHints(sql)
	if mayHaveSeveralStatements(sql) {
		// Only the first statement is classified. The others may commit, so even a
		// batch that begins a transaction must not be retried.
		b.Class = state.ClassWrite
		b.MayCommit = mayEndTransaction(sql)
		b.OnlyBegins = onlyBeginsTransaction(sql)
		return
	}
	if st.class == state.ClassSetting {
		b.Class = state.ClassWrite
		b.Setting = parseSetting(sql, st)
		return
	}
	b.OnlyBegins = st.class == state.ClassBegin
	b.Setting = parseShow(sql)
}

// mayHaveSeveralStatements reports whether the text may contain more than one
// statement. It also counts semicolons in literals. Such a read runs on the primary
// instead of a replica, which is correct but slower, and such a SET is not replayed
// on other connections.
func mayHaveSeveralStatements(sql string) bool {
	i := strings.IndexByte(sql, ';')
	return i >= 0 && skipSpace(sql[i+1:]) != ""
}

// onlyBeginsTransaction reports whether all statements of the text begin or end
// transactions and the last one begins one. A semicolon in a literal or a comment
// also splits the text; pieces that are not such statements make the result false.
func onlyBeginsTransaction(sql string) bool {
	last := state.ClassRead
	for _, statement := range strings.Split(strings.TrimSuffix(strings.TrimSpace(sql), ";"), ";") {
		switch last = classify(statement).class; last {
		case state.ClassBegin, state.ClassEnd, state.ClassRollback:
		default:
			return false
		}
	}
	return last == state.ClassBegin
}

// mayEndTransaction reports whether the text may contain a statement that ends a
// transaction. It also counts the keywords in literals and identifiers; then a lost
// transaction is reported with an unknown outcome instead of as rolled back.
func mayEndTransaction(sql string) bool {
	words := strings.FieldsFunc(strings.ToUpper(sql), func(r rune) bool {
		return !unicode.IsLetter(r) && !unicode.IsDigit(r) && r != '_'
	})
	for _, w := range words {
		switch w {
		case "COMMIT", "END", "ROLLBACK", "ABORT":
			return true
		}
	}
	return false
}

// analysis is the state of Analyse for a batch of the extended protocol.
type analysis struct {
	batch      *Batch
	session    PreparedStatements
	parsed     PreparedStatements // prepared by the batch itself
	boundCount int                // statements bound so far
}

func (a *analysis) addMessage(msg pgproto3.FrontendMessage) {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		a.batch.Parsed = append(a.batch.Parsed, m)
		a.parsed[m.Name] = m
		a.markUnsupported(classify(m.Query).unsupported)
	case *pgproto3.Bind:
		a.addBind(m)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			a.resolveStatement(m.Name)
		}
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			a.batch.Closed = append(a.batch.Closed, m.Name)
		}
	case *pgproto3.Execute, *pgproto3.Sync:
	case *pgproto3.Flush:
		a.markUnsupported("Flush before Sync")
	default:
		a.markUnsupported(fmt.Sprintf("message %T", msg))
	}
}

// addBind combines the class of the bound statement with that of the batch.
func (a *analysis) addBind(m *pgproto3.Bind) {
	p := a.resolveStatement(m.PreparedStatement)
	if p == nil {
		return
	}
	b, st := a.batch, classify(p.Query)
	a.boundCount++
	if st.class == state.ClassSetting {
		st.class = state.ClassWrite
		b.Setting = parseSetting(p.Query, st)
	}
	if a.boundCount == 1 {
		b.Class = st.class
		b.OnlyBegins = st.class == state.ClassBegin
		b.Hints = parseHints(p.Query)
		return
	}
	b.Setting, b.Hints, b.OnlyBegins = nil, Hints{}, false
	b.Class = combineClasses(b.Class, st.class)
	b.MayCommit = b.Class == state.ClassEnd || b.Class == state.ClassRollback
}

// resolveStatement returns the prepared statement with the given name, or nil. If
// the batch did not prepare it, the name is added to Used.
func (a *analysis) resolveStatement(name string) *pgproto3.Parse {
	if p := a.parsed[name]; p != nil {
		return p
	}
	a.batch.Used = append(a.batch.Used, name)
	return a.session[name]
}

// markUnsupported marks the batch as unsupported. The first reason is kept; an empty
// one has no effect.
func (a *analysis) markUnsupported(reason string) {
	if a.batch.Unsupported == "" {
		a.batch.Unsupported = reason
	}
}

// combineClasses returns the class of a batch that has statements of both classes.
func combineClasses(a, b state.Class) state.Class {
	if a == b {
		return a
	}
	for _, c := range []state.Class{state.ClassEnd, state.ClassRollback, state.ClassBegin, state.ClassBeginRO} {
		if a != c && b != c {
			continue
		}
		if c == state.ClassBeginRO {
			return state.ClassBegin // the other statement may write
		}
		return c
	}
	return state.ClassWrite
}
