package pgwire

import (
	"strings"
	"unicode"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// classification describes a statement as far as its first keywords show.
type classification struct {
	class       state.Class
	unsupported string // why the statement cannot run under transaction pooling
	setting     string // lower-case name of the setting in SET or RESET; set only with ClassSetting
}

// classify classifies a statement by its first keywords only. Classifying a write as
// a read is harmless: reads run in read-only mode, where the backend server refuses
// a write before running it.
func classify(sql string) classification {
	words := firstWords(sql, 4)
	word := func(i int) string {
		if i < len(words) {
			return words[i]
		}
		return ""
	}
	switch word(0) {
	case "", "SELECT", "VALUES", "TABLE", "SHOW", "WITH":
		return classification{class: state.ClassRead}
	case "BEGIN":
		return classification{class: classifyBegin(sql)}
	case "START":
		return classification{class: classifyBegin(sql)}
	case "COMMIT", "END":
		return classification{class: state.ClassEnd, unsupported: unsupportedTwoPhase(word(1))}
	case "ROLLBACK", "ABORT":
		return classifyRollback(words)
	case "SET":
		return classifySet(words)
	case "RESET":
		return classification{class: state.ClassSetting, setting: strings.ToLower(word(1))}
	case "LISTEN", "UNLISTEN", "COPY", "PREPARE", "EXECUTE", "DEALLOCATE", "DISCARD":
		return classification{class: state.ClassWrite, unsupported: word(0)}
	case "CREATE":
		if isTemporary(word(1)) || isTemporary(word(2)) {
			return classification{class: state.ClassWrite, unsupported: "temporary objects"}
		}
	case "DECLARE":
		if strings.Contains(strings.ToUpper(sql), "WITH HOLD") {
			return classification{class: state.ClassWrite, unsupported: "DECLARE ... WITH HOLD"}
		}
	}
	return classification{class: state.ClassWrite}
}

// classifyBegin distinguishes read-only transactions from others.
func classifyBegin(sql string) state.Class {
	words := firstWords(sql, 16)
	for i := 0; i+1 < len(words); i++ {
		if words[i] == "READ" && words[i+1] == "ONLY" {
			return state.ClassBeginRO
		}
	}
	return state.ClassBegin
}

// unsupportedTwoPhase returns the reason to refuse COMMIT PREPARED, given the word
// after COMMIT. It is empty for other words.
func unsupportedTwoPhase(word string) string {
	if word == "PREPARED" {
		return "prepared transactions"
	}
	return ""
}

// classifyRollback distinguishes ROLLBACK from ROLLBACK TO and ROLLBACK PREPARED.
func classifyRollback(words []string) classification {
	for _, w := range words[1:] {
		switch w {
		case "TO":
			return classification{class: state.ClassWrite} // ROLLBACK TO a savepoint does not end the transaction
		case "PREPARED":
			return classification{class: state.ClassWrite, unsupported: "prepared transactions"}
		}
	}
	return classification{class: state.ClassRollback}
}

// classifySet distinguishes SET of a session setting from SET with the scope of a
// transaction.
func classifySet(words []string) classification {
	if len(words) < 2 {
		return classification{class: state.ClassWrite}
	}
	switch words[1] {
	case "LOCAL", "TRANSACTION", "CONSTRAINTS":
		return classification{class: state.ClassWrite}
	}
	name := words[1]
	if name == "SESSION" && len(words) > 2 {
		name = words[2]
	}
	switch name {
	case "CHARACTERISTICS", "DEFAULT_TRANSACTION_READ_ONLY", "TRANSACTION_READ_ONLY":
		// The proxy sets the access mode of pooled connections itself.
		return classification{class: state.ClassWrite, unsupported: "a session-wide access mode (use BEGIN READ ONLY)"}
	}
	return classification{class: state.ClassSetting, setting: strings.ToLower(name)}
}

func isTemporary(word string) bool { return word == "TEMP" || word == "TEMPORARY" }

// firstWords returns up to n words from the start of the text, in upper case.
// Comments before and between them are skipped. A word consists of letters, digits,
// dots and underscores. Opening parentheses and commas are skipped; other
// punctuation ends the search.
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

// skipSpace removes leading white space and comments.
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

// skipBlockComment removes one leading block comment, which may contain nested ones.
// An unterminated comment extends to the end of the text.
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
