package sqltext

import (
	"regexp"
	"strings"
)

// statementForm maps statements that match a pattern to a kind. setFields sets
// the fields of the statement from the groups of the pattern.
type statementForm struct {
	kind      Kind
	pattern   *regexp.Regexp
	setFields func(s *Statement, groups []string)
}

// Parts of patterns. A cast after an argument is ignored, because all values are
// text.
const (
	argPattern       = `('(?:[^']|'')*'|\$[1-9][0-9]*)(?:::[a-z]+)?`
	secondsPattern   = `([0-9]*\.?[0-9]+|'[0-9.]+'|\$[1-9][0-9]*)(?:::[a-z]+)?`
	returningPattern = `(\s+RETURNING\s+value)?`
	columnsPattern   = `(?:\s*\(\s*key\s*,\s*value\s*\))?`
	modesPattern     = `((?:\s+|,)(?:\s*,?\s*(?:READ\s+ONLY|READ\s+WRITE|ISOLATION\s+LEVEL\s+(?:SERIALIZABLE|REPEATABLE\s+READ|READ\s+COMMITTED|READ\s+UNCOMMITTED)|(?:NOT\s+)?DEFERRABLE))+)?`
	workPattern      = `(?:\s+(?:WORK|TRANSACTION))?`
	settingPattern   = `([a-z_][a-z0-9_.]*)`
)

var forms = []statementForm{
	{SelectValue, compile(`SELECT\s+value\s+FROM\s+kv\s+WHERE\s+key\s*=\s*` + argPattern), setArgs},
	{SelectCount, compile(`SELECT\s+count\(\*\)\s+FROM\s+kv`), setArgs},
	{SelectServer, compile(`SELECT\s+server\(\)`), setArgs},
	{SelectOne, compile(`SELECT\s+1`), setArgs},
	{SelectSleep, compile(`SELECT\s+pg_sleep\(\s*` + secondsPattern + `\s*\)`), setArgs},
	{SelectWriteKV, compile(`SELECT\s+write_kv\(\s*` + argPattern + `\s*,\s*` + argPattern + `\s*\)`), setArgs},
	{SelectLog, compile(`SELECT\s+entry\s+FROM\s+log`), setArgs},
	{Insert, compile(`INSERT\s+INTO\s+kv` + columnsPattern + `\s+VALUES\s*\(\s*` + argPattern + `\s*,\s*` + argPattern + `\s*\)` + returningPattern), setArgsAndReturning},
	{Upsert, compile(`UPSERT\s+kv\s*\(\s*` + argPattern + `\s*,\s*` + argPattern + `\s*\)` + returningPattern), setArgsAndReturning},
	{Update, compile(`UPDATE\s+kv\s+SET\s+value\s*=\s*` + argPattern + `\s+WHERE\s+key\s*=\s*` + argPattern + returningPattern), setUpdate},
	{Delete, compile(`DELETE\s+FROM\s+kv\s+WHERE\s+key\s*=\s*` + argPattern + returningPattern), setArgsAndReturning},
	{Append, compile(`APPEND\s+log\s+` + argPattern), setArgs},
	{Begin, compile(`BEGIN` + workPattern + modesPattern), setAccessMode},
	{Begin, compile(`START\s+TRANSACTION` + modesPattern), setAccessMode},
	{Commit, compile(`(?:COMMIT|END)` + workPattern), noFields},
	{Rollback, compile(`(?:ROLLBACK|ABORT)` + workPattern), noFields},
	{SetTransaction, compile(`SET\s+TRANSACTION` + modesPattern), setAccessMode},
	{Set, compile(`SET\s+(SESSION\s+|LOCAL\s+)?` + settingPattern + `\s*(?:=|\s+TO\s)\s*(.+)`), setAssignment},
	{ResetAll, compile(`RESET\s+ALL`), noFields},
	{Reset, compile(`RESET\s+` + settingPattern), setName},
	{Show, compile(`SHOW\s+` + settingPattern), setName},
	{DiscardAll, compile(`DISCARD\s+ALL`), noFields},
}

func compile(pattern string) *regexp.Regexp {
	return regexp.MustCompile(`(?is)^` + pattern + `$`)
}

func noFields(*Statement, []string) {}

func setArgs(s *Statement, groups []string) {
	for _, g := range groups {
		s.Args = append(s.Args, parseArg(g))
	}
}

func setArgsAndReturning(s *Statement, groups []string) {
	last := len(groups) - 1
	setArgs(s, groups[:last])
	s.Returning = groups[last] != ""
}

// setUpdate swaps the arguments of UPDATE, so that the key comes before the value
// as in the other statements.
func setUpdate(s *Statement, groups []string) {
	setArgsAndReturning(s, groups)
	s.Args[0], s.Args[1] = s.Args[1], s.Args[0]
}

func setAccessMode(s *Statement, groups []string) {
	modes := strings.Join(strings.Fields(strings.ToUpper(groups[0])), " ")
	switch {
	case strings.Contains(modes, "READ ONLY"):
		s.AccessMode = ReadOnly
	case strings.Contains(modes, "READ WRITE"):
		s.AccessMode = ReadWrite
	}
}

func setAssignment(s *Statement, groups []string) {
	s.Local = strings.EqualFold(strings.TrimSpace(groups[0]), "LOCAL")
	s.Name = strings.ToLower(groups[1])
	value := strings.TrimSpace(groups[2])
	s.Default = strings.EqualFold(value, "DEFAULT")
	s.Value = unquote(value)
}

func setName(s *Statement, groups []string) {
	s.Name = strings.ToLower(groups[0])
}
