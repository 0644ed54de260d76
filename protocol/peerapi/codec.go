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

// Age is a time span that is sent in milliseconds, rounded up so that nothing
// looks fresher than it is.
type Age time.Duration

// AgeOf returns a non-zero Age for a time span; less than 1 ms counts as 1 ms.
func AgeOf(d time.Duration) Age { return Age(max(d, time.Millisecond)) }

// MarshalJSON implements json.Marshaler.
func (a Age) MarshalJSON() ([]byte, error) {
	ms := (time.Duration(a) + time.Millisecond - 1) / time.Millisecond
	return strconv.AppendInt(nil, int64(ms), 10), nil
}

// maxAge bounds received ages, which keeps sums of times from overflowing.
const maxAge = 100 * 365 * 24 * time.Hour

// UnmarshalJSON implements json.Unmarshaler. It refuses negative ages.
func (a *Age) UnmarshalJSON(data []byte) error {
	ms, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil || ms < 0 || ms > int64(maxAge/time.Millisecond) {
		return eris.Errorf("age %.20s is no number of milliseconds in range", data)
	}
	*a = Age(time.Duration(ms) * time.Millisecond)
	return nil
}

// MemberOf returns the message form of an entry.
func MemberOf(e membership.Entry) Member {
	return Member{
		Name:          e.Name,
		Incarnation:   e.Incarnation,
		Sequence:      e.Sequence,
		DataCentre:    e.DataCentre,
		Address:       e.Address,
		State:         shortState(e.State),
		AppliedTicket: e.AppliedTicket,
		Age:           Age(e.Age),
	}
}

// Entry returns the entry that the message form stands for.
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

// SenderOf returns the message form of the sender's own entry.
func SenderOf(e membership.Entry) Sender {
	return Sender{
		Name:        e.Name,
		Incarnation: e.Incarnation,
		Sequence:    e.Sequence,
		DataCentre:  e.DataCentre,
		Address:     e.Address,
		State:       shortState(e.State),
	}
}

// Entry returns what a message says of its sender.
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

func shortState(s state.ServiceState) state.ServiceState {
	if s == state.InService {
		return ""
	}
	return s
}

// Sections are the names of the parts of messages, for the count of bytes.
var Sections = []string{"sender", "config", "want", "heard", "lease", "loans", "groups", "members", "snapshot"}

// SectionSizes returns the bytes that each section of a message takes,
// including its name and separators.
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
