package pgwire

import (
	"strings"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// SettingPrefix is the prefix of the proxy's own session settings.
const SettingPrefix = "chestnutdyke."

// The proxy's own session settings.
const (
	SettingSession      = SettingPrefix + "session"       // session token
	SettingMaxStaleness = SettingPrefix + "max_staleness" // maximum staleness that reads accept, such as 500ms
	SettingIdempotent   = SettingPrefix + "idempotent"    // on: requests may be retried
)

// SettingVerb is the operation of a statement on a setting.
type SettingVerb int

// Values of SettingVerb.
const (
	SetVerb SettingVerb = iota
	ResetVerb
	ShowVerb
)

// Setting is a SET, RESET or SHOW statement of a session setting.
type Setting struct {
	Verb      SettingVerb
	Name      string // lower case; "all" in RESET ALL
	Value     string // only with SetVerb and one of the proxy's own settings
	Statement string // the text of the statement
}

// IsProxySetting reports whether the setting is one of the proxy's own.
func (s *Setting) IsProxySetting() bool { return strings.HasPrefix(s.Name, SettingPrefix) }

// parseSetting returns the setting that a SET or RESET statement changes.
func parseSetting(sql string, st classification) *Setting {
	s := &Setting{Name: st.setting, Statement: sql}
	if firstWords(sql, 1)[0] == "RESET" {
		s.Verb = ResetVerb
		return s
	}
	if s.IsProxySetting() {
		s.Value = parseSettingValue(sql)
	}
	return s
}

// parseShow returns the setting if the statement shows one of the proxy's own
// settings, and nil otherwise.
func parseShow(sql string) *Setting {
	words := firstWords(sql, 2)
	if len(words) != 2 || words[0] != "SHOW" {
		return nil
	}
	s := &Setting{Verb: ShowVerb, Name: strings.ToLower(words[1]), Statement: sql}
	if !s.IsProxySetting() {
		return nil
	}
	return s
}

// parseSettingValue returns the value in SET name = 'value' or SET name TO value.
func parseSettingValue(sql string) string {
	rest := textAfterPrefix(sql)
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

// textAfterPrefix returns the text after the first occurrence of SettingPrefix,
// ignoring case. It does not convert the whole text to one case, because that could
// change its length.
func textAfterPrefix(sql string) string {
	for i := 0; i+len(SettingPrefix) <= len(sql); i++ {
		if strings.EqualFold(sql[i:i+len(SettingPrefix)], SettingPrefix) {
			return sql[i+len(SettingPrefix):]
		}
	}
	return ""
}

// MaxReplayedSettings is the maximum number of settings per session that are replayed
// on backend connections.
const MaxReplayedSettings = 16

// UpdateReplayedSettings returns the settings to replay on backend connections
// after the statement s has succeeded. It returns vars and false if there would
// be more than MaxReplayedSettings.
func UpdateReplayedSettings(vars []state.Variable, s *Setting) ([]state.Variable, bool) {
	kept := make([]state.Variable, 0, len(vars)+1)
	for _, v := range vars {
		if v.Name != s.Name && s.Name != "all" {
			kept = append(kept, v)
		}
	}
	if s.Verb == ResetVerb {
		return kept, true
	}
	if len(kept) >= MaxReplayedSettings {
		return vars, false
	}
	return append(kept, state.Variable{Name: s.Name, Statement: s.Statement}), true
}
