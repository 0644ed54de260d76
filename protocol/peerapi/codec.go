package peerapi

import (
	"cmp"
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// Age is a duration that is sent in milliseconds. It is rounded up, so that
// information never appears fresher than it is.
type Age time.Duration

// AgeOf returns the Age of a duration, at least 1 ms. Zero means "not known" in
// optional fields.
func AgeOf(d time.Duration) Age { return Age(max(d, time.Millisecond)) }

// MarshalJSON implements json.Marshaler.
func (a Age) MarshalJSON() ([]byte, error) {
	ms := (time.Duration(a) + time.Millisecond - 1) / time.Millisecond
	return strconv.AppendInt(nil, int64(ms), 10), nil
}

// maxAge limits received ages so that arithmetic on times cannot overflow.
const maxAge = 100 * 365 * 24 * time.Hour

// UnmarshalJSON implements json.Unmarshaler. It refuses negative ages.
func (a *Age) UnmarshalJSON(data []byte) error {
	ms, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil || ms < 0 || ms > int64(maxAge/time.Millisecond) {
		return eris.Errorf("age %.20s is not a number of milliseconds in range", data)
	}
	*a = Age(time.Duration(ms) * time.Millisecond)
	return nil
}

// MemberOf converts a membership entry to its wire format.
func MemberOf(e membership.Entry) Member {
	return Member{
		Name:          e.Name,
		Incarnation:   e.Incarnation,
		Sequence:      e.Sequence,
		DataCentre:    e.DataCentre,
		Address:       e.Address,
		State:         wireState(e.State),
		AppliedTicket: e.AppliedTicket,
		Age:           Age(e.Age),
	}
}

// Entry converts the wire format to a membership entry.
func (m Member) Entry() membership.Entry {
	return membership.Entry{
		Name:          m.Name,
		Incarnation:   m.Incarnation,
		Sequence:      m.Sequence,
		DataCentre:    m.DataCentre,
		Address:       m.Address,
		State:         cmp.Or(m.State, state.InService),
		AppliedTicket: m.AppliedTicket,
		Age:           time.Duration(m.Age),
	}
}

// SenderOf converts the sender's own entry to its wire format.
func SenderOf(e membership.Entry) Sender {
	return Sender{
		Name:        e.Name,
		Incarnation: e.Incarnation,
		Sequence:    e.Sequence,
		DataCentre:  e.DataCentre,
		Address:     e.Address,
		State:       wireState(e.State),
	}
}

// Entry returns the membership entry of the sender, with an age of zero. applied
// is the applied ticket in the message's ConfigDigest.
func (s Sender) Entry(applied uint64) membership.Entry {
	return Member{
		Name:          s.Name,
		Incarnation:   s.Incarnation,
		Sequence:      s.Sequence,
		DataCentre:    s.DataCentre,
		Address:       s.Address,
		State:         s.State,
		AppliedTicket: applied,
	}.Entry()
}

// wireState returns the state as sent: empty for InService, the usual state.
func wireState(s state.ServiceState) state.ServiceState {
	if s == state.InService {
		return ""
	}
	return s
}

// Sections are the JSON names of the message fields whose bytes are counted
// separately.
var Sections = []string{"sender", "config", "want", "heard", "lease", "loans", "groups", "members", "snapshot"}

// SectionSizes returns the size of each section of an encoded message in bytes,
// including its name and separators. It returns nil if the body is not a JSON
// object.
func SectionSizes(body []byte) map[string]int {
	var sections map[string]json.RawMessage
	if json.Unmarshal(body, &sections) != nil {
		return nil
	}
	sizes := make(map[string]int, len(sections))
	for name, raw := range sections {
		sizes[name] = len(name) + len(raw) + len(`"":,`)
	}
	return sizes
}
