package sessions

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/coordination/session"
	"github.com/chestnutdyke/chestnutdyke/protocol/pgwire"
	"github.com/chestnutdyke/chestnutdyke/protocol/token"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// applyParameters applies those start-up parameters that are settings of the proxy.
// It returns the refusal if a name or a value is invalid, and otherwise nil.
func (c *clientSession) applyParameters(parameters map[string]string) *session.Outcome {
	for name, value := range parameters {
		name = strings.ToLower(name)
		if !strings.HasPrefix(name, pgwire.SettingPrefix) {
			continue
		}
		if out := c.set(name, value); out.Kind != session.Answered {
			return &out
		}
	}
	return nil
}

// executeSetting executes a SET, RESET or SHOW of one of the proxy's settings and
// queues the response. The caller ends the request.
func (c *clientSession) executeSetting(b *pgwire.Batch) session.Outcome {
	s := b.Setting
	switch s.Verb {
	case pgwire.ShowVerb:
		c.out.Send(pgwire.ShowAnswer(s.Name, c.show(s.Name))...)
		return session.Outcome{Kind: session.Answered}
	case pgwire.ResetVerb:
		c.reset(s.Name)
	default:
		if out := c.set(s.Name, s.Value); out.Kind != session.Answered {
			return out
		}
	}
	c.out.Send(pgwire.SetAnswer(b)...)
	if s.Name == pgwire.SettingSession {
		c.out.Send(&pgproto3.ParameterStatus{Name: pgwire.SettingSession, Value: c.token()})
	}
	return session.Outcome{Kind: session.Answered}
}

// set changes one of the proxy's settings. It returns a refusal if the name or the
// value is invalid.
func (c *clientSession) set(name, value string) session.Outcome {
	invalid := session.Refused(session.ParameterInvalid)
	switch name {
	case pgwire.SettingSession:
		return c.mergeToken(value)
	case pgwire.SettingMaxStaleness:
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			invalid.Detail = name + " takes a duration such as 500ms"
			return invalid
		}
		c.update(func(s *state.Session) { s.MaxStaleness = d })
	case pgwire.SettingIdempotent:
		on, ok := parseBool(value)
		if !ok {
			invalid.Detail = name + " takes on or off"
			return invalid
		}
		c.update(func(s *state.Session) { s.Idempotent = on })
	default:
		invalid.Detail = "there is no setting " + name
		return invalid
	}
	return session.Outcome{Kind: session.Answered}
}

// mergeToken adds the positions in a session token to those of the session. Clients
// send the token of their previous session, which may have been on another VM.
func (c *clientSession) mergeToken(text string) session.Outcome {
	points, validity := token.Decode(c.sessions.Secret, c.st.Customer, text)
	switch validity {
	case token.Invalid:
		return session.Refused(session.TokenInvalid)
	case token.OtherCustomer:
		return session.Refused(session.TokenForeign)
	}
	c.update(func(s *state.Session) {
		s.TokenSet = true
		for group, p := range points {
			s.Token.Merge(group, p)
		}
	})
	return session.Outcome{Kind: session.Answered}
}

// reset restores the default value of a setting. The session token is kept.
func (c *clientSession) reset(name string) {
	switch name {
	case pgwire.SettingMaxStaleness:
		c.update(func(s *state.Session) { s.MaxStaleness = 0 })
	case pgwire.SettingIdempotent:
		c.update(func(s *state.Session) { s.Idempotent = false })
	}
}

func (c *clientSession) show(name string) string {
	switch name {
	case pgwire.SettingSession:
		return c.token()
	case pgwire.SettingMaxStaleness:
		return c.st.MaxStaleness.String()
	case pgwire.SettingIdempotent:
		if c.st.Idempotent {
			return "on"
		}
		return "off"
	}
	return ""
}

// update changes the session's state under its lock.
func (c *clientSession) update(f func(s *state.Session)) {
	c.st.Lock()
	defer c.st.Unlock()
	f(c.st)
}

func parseBool(value string) (on, ok bool) {
	switch strings.ToLower(value) {
	case "on", "true", "1":
		return true, true
	case "off", "false", "0":
		return false, true
	}
	return false, false
}
