// Package sqltext parses the statements that a simulated backend server supports.
//
// UPSERT, APPEND, server() and write_kv() do not exist in PostgreSQL. SELECT
// write_kv is a write that begins like a read, as a call of a function can be.
package sqltext

import (
	"fmt"
	"strconv"
	"strings"
)

// Kind identifies a supported statement.
type Kind int

// Kinds of statements. Those before Begin read or change data; UsesData depends
// on this order.
const (
	SelectValue    Kind = iota // SELECT value FROM kv WHERE key = $key
	SelectCount                // SELECT count(*) FROM kv
	SelectServer               // SELECT server()
	SelectOne                  // SELECT 1
	SelectSleep                // SELECT pg_sleep(seconds)
	SelectWriteKV              // SELECT write_kv('k', 'v')
	SelectLog                  // SELECT entry FROM log
	Insert                     // INSERT INTO kv VALUES ('k', 'v') [RETURNING value]
	Upsert                     // UPSERT kv ('k', 'v') [RETURNING value]
	Update                     // UPDATE kv SET value = 'v' WHERE key = 'k' [RETURNING value]
	Delete                     // DELETE FROM kv WHERE key = 'k' [RETURNING value]
	Append                     // APPEND log 'entry'
	Begin                      // BEGIN or START TRANSACTION
	Commit                     // COMMIT or END
	Rollback                   // ROLLBACK or ABORT
	Set                        // SET [SESSION | LOCAL] name = value
	SetTransaction             // SET TRANSACTION READ ONLY | READ WRITE
	Reset                      // RESET name
	ResetAll                   // RESET ALL
	Show                       // SHOW name
	DiscardAll                 // DISCARD ALL
)

// AccessMode is the transaction access mode that a statement requests.
type AccessMode int

// Access modes. UnspecifiedMode leaves the mode of the transaction as it is.
const (
	UnspecifiedMode AccessMode = iota
	ReadOnly
	ReadWrite
)

// Arg is an argument of a statement: a literal or a parameter.
type Arg struct {
	Text  string // the literal, without quotes
	Param int    // number of the parameter from 1; zero for a literal
}

// Statement is a parsed statement. Fields that do not apply to its kind are zero.
type Statement struct {
	Kind       Kind
	Text       string     // without leading comments and the semicolon
	Args       []Arg      // the key, then the value if there is one; or the entry, or the seconds
	Returning  bool       // RETURNING value
	Name       string     // of the setting, in lower case
	Value      string     // of Set
	Default    bool       // SET name TO DEFAULT
	Local      bool       // SET LOCAL
	AccessMode AccessMode // of Begin and SetTransaction
}

// Writes reports whether the statement changes data.
func (s *Statement) Writes() bool {
	switch s.Kind {
	case SelectWriteKV, Insert, Upsert, Update, Delete, Append:
		return true
	}
	return false
}

// UsesData reports whether the statement reads or changes data, unlike statements
// on transactions and settings.
func (s *Statement) UsesData() bool { return s.Kind < Begin }

// EndsTransaction reports whether the statement ends a transaction. Only such
// statements are allowed in a failed transaction.
func (s *Statement) EndsTransaction() bool { return s.Kind == Commit || s.Kind == Rollback }

// Command returns the first keyword in upper case, for error messages.
func (s *Statement) Command() string {
	word, _, _ := strings.Cut(s.Text, " ")
	return strings.ToUpper(word)
}

// Params returns the number of parameters that Bind needs: the highest parameter
// number in the statement.
func (s *Statement) Params() int {
	count := 0
	for _, a := range s.Args {
		count = max(count, a.Param)
	}
	return count
}

// Bind returns the arguments with the parameters substituted. It fails if a
// parameter is missing.
func (s *Statement) Bind(params []string) ([]string, error) {
	args := make([]string, len(s.Args))
	for i, a := range s.Args {
		switch {
		case a.Param == 0:
			args[i] = a.Text
		case a.Param <= len(params):
			args[i] = params[a.Param-1]
		default:
			return nil, fmt.Errorf("there is no parameter $%d", a.Param)
		}
	}
	return args, nil
}

// Parse parses statements separated by semicolons and omits empty ones. It fails
// if any statement is not supported.
func Parse(text string) ([]*Statement, error) {
	var statements []*Statement
	for _, part := range splitStatements(text) {
		part = strings.TrimSpace(stripLeadingComments(part))
		if part == "" {
			continue
		}
		statement, err := parseStatement(part)
		if err != nil {
			return nil, err
		}
		statements = append(statements, statement)
	}
	return statements, nil
}

// splitStatements splits the text at semicolons outside quotes.
func splitStatements(text string) []string {
	var parts []string
	quoted := false
	start := 0
	for i := range len(text) {
		switch {
		case text[i] == '\'':
			quoted = !quoted
		case text[i] == ';' && !quoted:
			parts = append(parts, text[start:i])
			start = i + 1
		}
	}
	return append(parts, text[start:])
}

// stripLeadingComments removes the comments before a statement.
func stripLeadingComments(text string) string {
	for {
		text = strings.TrimSpace(text)
		switch {
		case strings.HasPrefix(text, "--"):
			_, text, _ = strings.Cut(text, "\n")
		case strings.HasPrefix(text, "/*"):
			_, text, _ = strings.Cut(text, "*/")
		default:
			return text
		}
	}
}

func parseStatement(text string) (*Statement, error) {
	for _, f := range forms {
		if match := f.pattern.FindStringSubmatch(text); match != nil {
			s := &Statement{Kind: f.kind, Text: text}
			f.setFields(s, match[1:])
			return s, nil
		}
	}
	return nil, fmt.Errorf("syntax error: statement not known to this server: %.80q", text)
}

// parseArg parses a string literal, a number or a parameter.
func parseArg(text string) Arg {
	switch {
	case strings.HasPrefix(text, "$"):
		n, _ := strconv.Atoi(text[1:])
		return Arg{Param: n}
	default:
		return Arg{Text: unquote(text)}
	}
}

func unquote(text string) string {
	if len(text) >= 2 && text[0] == '\'' && text[len(text)-1] == '\'' {
		return strings.ReplaceAll(text[1:len(text)-1], "''", "'")
	}
	return text
}
