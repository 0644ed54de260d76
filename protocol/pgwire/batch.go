// Package pgwire translates between the PostgreSQL wire protocol (version 3)
// and the requests and answers that decisions work with. It opens no socket.
package pgwire

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// MaxBatchBytes is the largest request that is accepted, in bytes.
const MaxBatchBytes = 16 << 20

// Batch is one request of a client: a simple query, or the messages of the
// extended protocol up to a Sync.
type Batch struct {
	Messages []pgproto3.FrontendMessage
	// Unsynced says that the Sync of the refused batch is still to come, so that
	// the refusal is not followed by a ReadyForQuery.
	Unsynced bool
	// OnlySync says that the batch is a Sync and nothing else.
	OnlySync bool

	// The fields below are set by Statements.Analyse.

	Class state.Class
	// MayCommit says that the batch has several statements, of which one may end
	// a transaction.
	MayCommit bool
	// OnlyBegins says that the batch begins a transaction and otherwise at most
	// ends one, so that outside of a transaction it does nothing else.
	OnlyBegins bool
	Hints      Hints
	// Unsupported says why the batch must be refused; empty if it may run.
	Unsupported string
	// Setting is set if the batch is a single SET, RESET or SHOW of a session
	// setting.
	Setting *Setting
	// Parsed are the statements that the batch prepares, in order.
	Parsed []*pgproto3.Parse
	// Used are the names of prepared statements that the batch refers to and
	// does not itself prepare first.
	Used []string
	// Closed are the names of prepared statements that the batch closes.
	Closed []string
}

// Framer gathers the messages of one client into batches.
type Framer struct {
	batch    *Batch
	size     int
	skipping bool // the batch was refused; skip to its Sync
}

// Add takes a message, which must not be reused by the caller. It returns a
// batch when the message completes one. It fails if the batch is too large.
func (f *Framer) Add(msg pgproto3.FrontendMessage, size int) (*Batch, error) {
	if f.skipping {
		return f.skip(msg), nil
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
		b.OnlySync = len(b.Messages) == 1
		return b, nil
	case *pgproto3.Flush:
		// The client waits for an answer before it sends the Sync.
		b.Unsynced = true
		f.batch, f.skipping = nil, true
		return b, nil
	}
	return nil, nil
}

func (f *Framer) skip(msg pgproto3.FrontendMessage) *Batch {
	if _, ok := msg.(*pgproto3.Sync); !ok {
		return nil
	}
	f.skipping = false
	return &Batch{OnlySync: true}
}

// Statements are the prepared statements of a session by name.
type Statements map[string]*pgproto3.Parse

// Prepared tells that the first n Parse messages of a batch succeeded.
func (s Statements) Prepared(b *Batch, n int) {
	for _, name := range b.Closed {
		delete(s, name)
	}
	for _, p := range b.Parsed[:min(n, len(b.Parsed))] {
		s[p.Name] = p
	}
}

// Analyse finds out what a batch does, as far as its first keywords tell.
func (s Statements) Analyse(b *Batch) {
	if q, ok := b.Messages[0].(*pgproto3.Query); ok {
		analyseQuery(b, q.String)
		return
	}
	a := analysis{batch: b, session: s, parsed: make(Statements)}
	b.Class = state.ClassRead
	for _, msg := range b.Messages {
		a.add(msg)
	}
}

func analyseQuery(b *Batch, sql string) {
	st := classify(sql)
	b.Class, b.Unsupported = st.class, st.unsupported
	b.Hints = hintsIn(sql)
	if severalStatements(sql) {
		// What follows the first statement is not classified. It may commit, so
		// even a batch that begins a transaction must not be repeated.
		b.Class = state.ClassWrite
		b.MayCommit = mentionsEnd(sql)
		b.OnlyBegins = onlyBegins(sql)
		return
	}
	if st.class == state.ClassLocal {
		b.Class = state.ClassWrite
		b.Setting = settingOf(sql, st)
		return
	}
	b.OnlyBegins = st.class == state.ClassBegin
	b.Setting = showOf(sql)
}

// severalStatements reports whether the text may hold more than one statement.
// A semicolon in a literal counts too; that only costs the use of a replica.
func severalStatements(sql string) bool {
	i := strings.IndexByte(sql, ';')
	return i >= 0 && skipSpace(sql[i+1:]) != ""
}

// onlyBegins reports whether the statements of the text only end and begin
// transactions, and the last one begins one. A semicolon in a literal or a
// comment separates what is not such a statement.
func onlyBegins(sql string) bool {
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

// mentionsEnd reports whether the text may hold a statement that ends a
// transaction. The words count in literals and names too; that only makes a
// statement about a lost transaction less certain.
func mentionsEnd(sql string) bool {
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
	batch   *Batch
	session Statements
	parsed  Statements // prepared by the batch itself
	bound   int        // statements bound so far
}

func (a *analysis) add(msg pgproto3.FrontendMessage) {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		a.batch.Parsed = append(a.batch.Parsed, m)
		a.parsed[m.Name] = m
		a.refuse(classify(m.Query).unsupported)
	case *pgproto3.Bind:
		a.bind(m)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			a.use(m.Name)
		}
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			a.batch.Closed = append(a.batch.Closed, m.Name)
		}
	case *pgproto3.Execute, *pgproto3.Sync:
	case *pgproto3.Flush:
		a.refuse("Flush before Sync")
	default:
		a.refuse(fmt.Sprintf("message %T", msg))
	}
}

// bind adds the class of the bound statement to that of the batch.
func (a *analysis) bind(m *pgproto3.Bind) {
	p := a.use(m.PreparedStatement)
	if p == nil {
		return
	}
	b, st := a.batch, classify(p.Query)
	a.bound++
	if st.class == state.ClassLocal {
		st.class = state.ClassWrite
		b.Setting = settingOf(p.Query, st)
	}
	if a.bound == 1 {
		b.Class = st.class
		b.OnlyBegins = st.class == state.ClassBegin
		b.Hints = hintsIn(p.Query)
		return
	}
	b.Setting, b.Hints, b.OnlyBegins = nil, Hints{}, false
	b.Class = combine(b.Class, st.class)
	b.MayCommit = b.Class == state.ClassEnd || b.Class == state.ClassRollback
}

// use returns the prepared statement of the given name and notes that the batch
// needs it.
func (a *analysis) use(name string) *pgproto3.Parse {
	if p := a.parsed[name]; p != nil {
		return p
	}
	a.batch.Used = append(a.batch.Used, name)
	return a.session[name]
}

func (a *analysis) refuse(why string) {
	if a.batch.Unsupported == "" {
		a.batch.Unsupported = why
	}
}

// combine returns the class of a batch with statements of both classes.
func combine(a, b state.Class) state.Class {
	if a == b {
		return a
	}
	for _, c := range []state.Class{state.ClassEnd, state.ClassRollback, state.ClassBegin, state.ClassBeginRO} {
		if a != c && b != c {
			continue
		}
		if c == state.ClassBeginRO {
			return state.ClassBegin // it also does other things
		}
		return c
	}
	return state.ClassWrite
}
