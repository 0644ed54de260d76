package sqltext

import (
	"regexp"
	"strings"
)

// form is a statement form: a pattern, and how its groups fill a statement.
type form struct {
	kind    Kind
	pattern *regexp.Regexp
	fill    func(s *Statement, groups []string)
}

// Parts of patterns. A cast after an argument is ignored, as all values are
// text.
const (
	argument  = `('(?:[^']|'')*'|\$[1-9][0-9]*)(?:::[a-z]+)?`
	seconds   = `([0-9]*\.?[0-9]+|'[0-9.]+'|\$[1-9][0-9]*)(?:::[a-z]+)?`
	returning = `(\s+RETURNING\s+value)?`
	columns   = `(?:\s*\(\s*key\s*,\s*value\s*\))?`
	modes     = `((?:\s+|,)(?:\s*,?\s*(?:READ\s+ONLY|READ\s+WRITE|ISOLATION\s+LEVEL\s+(?:SERIALIZABLE|REPEATABLE\s+READ|READ\s+COMMITTED|READ\s+UNCOMMITTED)|(?:NOT\s+)?DEFERRABLE))+)?`
	work      = `(?:\s+(?:WORK|TRANSACTION))?`
	setting   = `([a-z_][a-z0-9_.]*)`
)

var forms = []form{
	{SelectValue, compile(`SELECT\s+value\s+FROM\s+kv\s+WHERE\s+key\s*=\s*` + argument), fillArgs},
	{SelectCount, compile(`SELECT\s+count\(\*\)\s+FROM\s+kv`), fillArgs},
	{SelectServer, compile(`SELECT\s+server\(\)`), fillArgs},
	{SelectOne, compile(`SELECT\s+1`), fillArgs},
	{SelectSleep, compile(`SELECT\s+pg_sleep\(\s*` + seconds + `\s*\)`), fillArgs},
	{SelectWrite, compile(`SELECT\s+write_kv\(\s*` + argument + `\s*,\s*` + argument + `\s*\)`), fillArgs},
	{SelectLog, compile(`SELECT\s+entry\s+FROM\s+log`), fillArgs},
	{Insert, compile(`INSERT\s+INTO\s+kv` + columns + `\s+VALUES\s*\(\s*` + argument + `\s*,\s*` + argument + `\s*\)` + returning), fillReturning},
	{Upsert, compile(`UPSERT\s+kv\s*\(\s*` + argument + `\s*,\s*` + argument + `\s*\)` + returning), fillReturning},
	{Update, compile(`UPDATE\s+kv\s+SET\s+value\s*=\s*` + argument + `\s+WHERE\s+key\s*=\s*` + argument + returning), fillUpdate},
	{Delete, compile(`DELETE\s+FROM\s+kv\s+WHERE\s+key\s*=\s*` + argument + returning), fillReturning},
	{Append, compile(`APPEND\s+log\s+` + argument), fillArgs},
	{Begin, compile(`BEGIN` + work + modes), fillMode},
	{Begin, compile(`START\s+TRANSACTION` + modes), fillMode},
	{Commit, compile(`(?:COMMIT|END)` + work), fillNothing},
	{Rollback, compile(`(?:ROLLBACK|ABORT)` + work), fillNothing},
	{SetTransaction, compile(`SET\s+TRANSACTION` + modes), fillMode},
	{Set, compile(`SET\s+(SESSION\s+|LOCAL\s+)?` + setting + `\s*(?:=|\s+TO\s)\s*(.+)`), fillSet},
	{ResetAll, compile(`RESET\s+ALL`), fillNothing},
	{Reset, compile(`RESET\s+` + setting), fillName},
	{Show, compile(`SHOW\s+` + setting), fillName},
	{DiscardAll, compile(`DISCARD\s+ALL`), fillNothing},
}

func compile(pattern string) *regexp.Regexp {
	return regexp.MustCompile(`(?is)^` + pattern + `$`)
}

func fillNothing(*Statement, []string) {}

func fillArgs(s *Statement, groups []string) {
	for _, g := range groups {
		s.Args = append(s.Args, argOf(g))
	}
}

func fillReturning(s *Statement, groups []string) {
	last := len(groups) - 1
	fillArgs(s, groups[:last])
	s.Returning = groups[last] != ""
}

// fillUpdate puts the key in front of the value, as in the other statements.
func fillUpdate(s *Statement, groups []string) {
	fillReturning(s, groups)
	s.Args[0], s.Args[1] = s.Args[1], s.Args[0]
}

func fillMode(s *Statement, groups []string) {
	modes := strings.Join(strings.Fields(strings.ToUpper(groups[0])), " ")
	switch {
	case strings.Contains(modes, "READ ONLY"):
		s.Mode = ReadOnly
	case strings.Contains(modes, "READ WRITE"):
		s.Mode = ReadWrite
	}
}

func fillSet(s *Statement, groups []string) {
	s.Local = strings.EqualFold(strings.TrimSpace(groups[0]), "LOCAL")
	s.Name = strings.ToLower(groups[1])
	value := strings.TrimSpace(groups[2])
	s.Default = strings.EqualFold(value, "DEFAULT")
	s.Value = unquote(value)
}

func fillName(s *Statement, groups []string) {
	s.Name = strings.ToLower(groups[0])
}
