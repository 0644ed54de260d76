// Package sqltext parses the statements that a stand-in backend server knows.
package sqltext

import (
	"fmt"
	"strconv"
	"strings"
)

// Kind is the form of a statement.
type Kind int

// Kinds of statements.
const (
	SelectValue  Kind = iota // SELECT value FROM kv WHERE key = $key
	SelectCount              // SELECT count(*) FROM kv
	SelectServer             // SELECT server()
	SelectOne                // SELECT 1
	SelectSleep              // SELECT pg_sleep(seconds)
	SelectWrite              // SELECT write_kv('k', 'v')
	SelectLog                // SELECT entry FROM log
	Insert                   // INSERT INTO kv VALUES ('k', 'v') [RETURNING value]
	Upsert                   // UPSERT kv ('k', 'v') [RETURNING value]
	Update                   // UPDATE kv SET value = 'v' WHERE key = 'k' [RETURNING value]
	Delete                   // DELETE FROM kv WHERE key = 'k' [RETURNING value]
	Append                   // APPEND log 'entry'
	Begin
	Commit
	Rollback
	Set            // SET [SESSION | LOCAL] name = value
	SetTransaction // SET TRANSACTION READ ONLY | READ WRITE
	Reset          // RESET name
	ResetAll
	Show
	DiscardAll
)

// Mode is the access mode that a statement asks for.
type Mode int

// Access modes.
const (
	DefaultMode Mode = iota
	ReadOnly
	ReadWrite
)

// Arg is a literal, or a parameter if Param is above zero.
type Arg struct {
	Text  string
	Param int
}

// Statement is a parsed statement.
type Statement struct {
	Kind      Kind
	Text      string
	Args      []Arg // key, value; entry; seconds
	Returning bool  // RETURNING value
	Name      string
	Value     string
	Default   bool // SET name TO DEFAULT
	Local     bool // SET LOCAL
	Mode      Mode // of Begin and SetTransaction
}

// Writes reports whether the statement changes data.
func (s *Statement) Writes() bool {
	switch s.Kind {
	case SelectWrite, Insert, Upsert, Update, Delete, Append:
		return true
	}
	return false
}

// UsesData reports whether the statement reads or changes data, in contrast to
// statements on transactions and settings.
func (s *Statement) UsesData() bool { return s.Kind < Begin }

// EndsTransaction reports whether the statement is allowed in a transaction
// that has failed.
func (s *Statement) EndsTransaction() bool { return s.Kind == Commit || s.Kind == Rollback }

// Command returns the first keyword, for messages.
func (s *Statement) Command() string {
	word, _, _ := strings.Cut(s.Text, " ")
	return strings.ToUpper(word)
}

// Params returns the number of parameters.
func (s *Statement) Params() int {
	n := 0
	for _, a := range s.Args {
		n = max(n, a.Param)
	}
	return n
}

// Bind returns the arguments with the parameters filled in.
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

// Parse parses statements separated by semicolons. Empty statements are left
// out.
func Parse(text string) ([]*Statement, error) {
	var all []*Statement
	for _, part := range split(text) {
		part = strings.TrimSpace(stripComments(part))
		if part == "" {
			continue
		}
		s, err := parseOne(part)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// split cuts the text at semicolons outside quotes.
func split(text string) []string {
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

// stripComments removes comments in front of a statement.
func stripComments(text string) string {
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

func parseOne(text string) (*Statement, error) {
	for _, f := range forms {
		if match := f.pattern.FindStringSubmatch(text); match != nil {
			s := &Statement{Kind: f.kind, Text: text}
			f.fill(s, match[1:])
			return s, nil
		}
	}
	return nil, fmt.Errorf("syntax error: statement not known to this server: %.80q", text)
}

// argOf reads a literal, a number or a parameter.
func argOf(text string) Arg {
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
