package pgwire

import (
	"strings"
	"unicode"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// statement is what the first keywords of a statement tell.
type statement struct {
	class       state.Class
	unsupported string // why the statement cannot run under transaction pooling
	setting     string // name in a SET or RESET statement outside of the proxy's own settings
}

// classify looks at the first keywords only. A wrong guess is harmless: what is
// taken for a read runs in read-only mode and is refused before it runs if it
// writes.
func classify(sql string) statement {
	words := firstWords(sql, 4)
	word := func(i int) string {
		if i < len(words) {
			return words[i]
		}
		return ""
	}
	switch word(0) {
	case "", "SELECT", "VALUES", "TABLE", "SHOW", "WITH":
		return statement{class: state.ClassRead}
	case "BEGIN":
		return statement{class: beginClass(sql)}
	case "START":
		return statement{class: beginClass(sql)}
	case "COMMIT", "END":
		return statement{class: state.ClassEnd, unsupported: preparedTransaction(word(1))}
	case "ROLLBACK", "ABORT":
		return rollback(words)
	case "SET":
		return set(words)
	case "RESET":
		return statement{class: state.ClassLocal, setting: strings.ToLower(word(1))}
	case "LISTEN", "UNLISTEN", "COPY", "PREPARE", "EXECUTE", "DEALLOCATE", "DISCARD":
		return statement{class: state.ClassWrite, unsupported: word(0)}
	case "CREATE":
		if temporary(word(1)) || temporary(word(2)) {
			return statement{class: state.ClassWrite, unsupported: "temporary objects"}
		}
	case "DECLARE":
		if strings.Contains(strings.ToUpper(sql), "WITH HOLD") {
			return statement{class: state.ClassWrite, unsupported: "DECLARE ... WITH HOLD"}
		}
	}
	return statement{class: state.ClassWrite}
}

func beginClass(sql string) state.Class {
	words := firstWords(sql, 16)
	for i := 0; i+1 < len(words); i++ {
		if words[i] == "READ" && words[i+1] == "ONLY" {
			return state.ClassBeginRO
		}
	}
	return state.ClassBegin
}

func preparedTransaction(word string) string {
	if word == "PREPARED" {
		return "prepared transactions"
	}
	return ""
}

func rollback(words []string) statement {
	for _, w := range words[1:] {
		switch w {
		case "TO":
			return statement{class: state.ClassWrite} // a savepoint; the transaction goes on
		case "PREPARED":
			return statement{class: state.ClassWrite, unsupported: "prepared transactions"}
		}
	}
	return statement{class: state.ClassRollback}
}

func set(words []string) statement {
	if len(words) < 2 {
		return statement{class: state.ClassWrite}
	}
	switch words[1] {
	case "LOCAL", "TRANSACTION", "CONSTRAINTS":
		return statement{class: state.ClassWrite}
	}
	name := words[1]
	if name == "SESSION" && len(words) > 2 {
		name = words[2]
	}
	switch name {
	case "CHARACTERISTICS", "DEFAULT_TRANSACTION_READ_ONLY", "TRANSACTION_READ_ONLY":
		// The proxy itself sets the access mode of its connections.
		return statement{class: state.ClassWrite, unsupported: "a session-wide access mode (use BEGIN READ ONLY)"}
	}
	return statement{class: state.ClassLocal, setting: strings.ToLower(name)}
}

func temporary(word string) bool { return word == "TEMP" || word == "TEMPORARY" }

// firstWords returns the first n words in upper case. Comments in front of and
// between them are skipped. A word ends at white space or punctuation other
// than a dot or an underscore.
func firstWords(sql string, n int) []string {
	var words []string
	for len(words) < n {
		sql = skipSpace(sql)
		end := strings.IndexFunc(sql, func(r rune) bool {
			return !unicode.IsLetter(r) && !unicode.IsDigit(r) && r != '.' && r != '_'
		})
		if end < 0 {
			end = len(sql)
		}
		if end == 0 {
			if sql == "" || sql[0] != '(' && sql[0] != ',' {
				return words
			}
			sql = sql[1:]
			continue
		}
		words = append(words, strings.ToUpper(sql[:end]))
		sql = sql[end:]
	}
	return words
}

func skipSpace(sql string) string {
	for {
		sql = strings.TrimLeftFunc(sql, unicode.IsSpace)
		switch {
		case strings.HasPrefix(sql, "--"):
			_, rest, found := strings.Cut(sql, "\n")
			if !found {
				return ""
			}
			sql = rest
		case strings.HasPrefix(sql, "/*"):
			rest := skipBlockComment(sql)
			if rest == sql {
				return sql
			}
			sql = rest
		default:
			return sql
		}
	}
}

// skipBlockComment skips one block comment; they nest.
func skipBlockComment(sql string) string {
	depth := 0
	for i := 0; i+1 < len(sql); i++ {
		switch sql[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
			if depth == 0 {
				return sql[i+1:]
			}
		}
	}
	return ""
}
