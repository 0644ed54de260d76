package pgwire

import (
	"strings"
	"time"
)

// Hints are settings for one statement, given in a comment at its start:
//
//	/* chestnutdyke.max_staleness=500ms chestnutdyke.idempotent=on */ SELECT ...
type Hints struct {
	MaxStaleness time.Duration
	Idempotent   bool
}

// parseHints returns the hints of a statement. Unknown and malformed hints are
// ignored, because a comment may contain any text.
func parseHints(sql string) Hints {
	var h Hints
	rest, found := strings.CutPrefix(strings.TrimSpace(sql), "/*")
	if !found {
		return h
	}
	comment, _, found := strings.Cut(rest, "*/")
	if !found {
		return h
	}
	for _, field := range strings.Fields(comment) {
		name, value, _ := strings.Cut(field, "=")
		switch strings.ToLower(name) {
		case SettingMaxStaleness:
			if d, err := time.ParseDuration(value); err == nil && d > 0 {
				h.MaxStaleness = d
			}
		case SettingIdempotent:
			h.Idempotent = strings.EqualFold(value, "on")
		}
	}
	return h
}
