package pgwire

import (
	"strings"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Prefix is the prefix of the proxy's own session settings.
const Prefix = "chestnutdyke."

// Own session settings.
const (
	SettingSession      = Prefix + "session"       // session token
	SettingMaxStaleness = Prefix + "max_staleness" // greatest age of data that reads accept, such as 500ms
	SettingIdempotent   = Prefix + "idempotent"    // on: requests may be repeated
)

// SettingVerb says what a statement does with a setting.
type SettingVerb int

// Verbs.
const (
	SetVerb SettingVerb = iota
	ResetVerb
	ShowVerb
)

// Setting is a statement about a session setting.
type Setting struct {
	Verb      SettingVerb
	Name      string // lower case
	Value     string // with SetVerb, of the proxy's own settings only
	Statement string
}

// Own reports whether the setting is one of the proxy's.
func (s *Setting) Own() bool { return strings.HasPrefix(s.Name, Prefix) }

func settingOf(sql string, st statement) *Setting {
	s := &Setting{Name: st.setting, Statement: sql}
	if firstWords(sql, 1)[0] == "RESET" {
		s.Verb = ResetVerb
		return s
	}
	if s.Own() {
		s.Value = settingValue(sql)
	}
	return s
}

// showOf returns the setting if the statement shows one of the proxy's own.
func showOf(sql string) *Setting {
	words := firstWords(sql, 2)
	if len(words) != 2 || words[0] != "SHOW" {
		return nil
	}
	s := &Setting{Verb: ShowVerb, Name: strings.ToLower(words[1]), Statement: sql}
	if !s.Own() {
		return nil
	}
	return s
}

// settingValue returns the value in SET name = 'value' or SET name TO value.
func settingValue(sql string) string {
	rest := afterPrefix(sql)
	rest = strings.TrimLeft(rest, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_")
	rest = strings.TrimSpace(rest)
	rest = strings.TrimPrefix(rest, "=")
	if len(rest) > 2 && strings.EqualFold(rest[:2], "to") {
		rest = rest[2:]
	}
	rest = strings.TrimSpace(strings.TrimRight(strings.TrimSpace(rest), ";"))
	if len(rest) >= 2 && rest[0] == '\'' && rest[len(rest)-1] == '\'' {
		return strings.ReplaceAll(rest[1:len(rest)-1], "''", "'")
	}
	return rest
}

// afterPrefix returns the text after the first occurrence of Prefix in any case.
// Changing the case of the whole text could change its length.
func afterPrefix(sql string) string {
	for i := 0; i+len(Prefix) <= len(sql); i++ {
		if strings.EqualFold(sql[i:i+len(Prefix)], Prefix) {
			return sql[i+len(Prefix):]
		}
	}
	return ""
}

// MaxVariables bounds the session settings that are remembered for replay.
const MaxVariables = 16

// Remember returns the settings to replay after the given statement succeeded.
// It reports false if there would be too many.
func Remember(vars []state.Variable, s *Setting) ([]state.Variable, bool) {
	kept := make([]state.Variable, 0, len(vars)+1)
	for _, v := range vars {
		if v.Name != s.Name && s.Name != "all" {
			kept = append(kept, v)
		}
	}
	if s.Verb == ResetVerb {
		return kept, true
	}
	if len(kept) >= MaxVariables {
		return vars, false
	}
	return append(kept, state.Variable{Name: s.Name, Statement: s.Statement}), true
}
