package managed

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/usage"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/usagereport"
)

// usageState is the part of a Store that records usage reports. Store.mu guards it.
type usageState struct {
	record       usage.Record
	highestToken uint64 // fencing token
	calls        []UsageCall
	accepted     map[int64]usage.Counts // by window
	late         int                    // number of coming calls that are not answered and run after lateDelay
	lateDelay    time.Duration
	unavailable  bool // calls fail before they are carried out
}

// UsageCall is a call to report usage, as the platform carried it out.
type UsageCall struct {
	At      time.Time
	Window  int64
	Counts  usage.Counts
	Holder  string // the VM that sent the call
	Token   uint64 // fencing token
	Refused bool   // the token was lower than an earlier one
	// Differs is set if another report with other counts was accepted for the window.
	Differs bool
}

// LoseUsageCalls leaves the next n usage reports without an answer, and carries them out
// after the delay.
func (s *Store) LoseUsageCalls(n int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.late, s.usage.lateDelay = n, delay
}

// SetUsageUnavailable makes usage reports fail before they are carried out.
func (s *Store) SetUsageUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.unavailable = unavailable
}

// UsageCalls returns the calls to report usage in the order in which they were carried out.
func (s *Store) UsageCalls() []UsageCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]UsageCall(nil), s.usage.calls...)
}

// UsageViolations returns the calls to report usage that break a rule of the platform
// whatever fails: two reports of a window with different counts, and a token that two VMs
// sent.
func (s *Store) UsageViolations() []string {
	var violations []string
	holders := make(map[uint64]string)
	for _, c := range s.UsageCalls() {
		if c.Differs {
			violations = append(violations, fmt.Sprintf("two usage reports of window %d have different counts", c.Window))
		}
		if other, known := holders[c.Token]; known && other != c.Holder {
			violations = append(violations, fmt.Sprintf("%s and %s sent usage reports with the token %d", other, c.Holder, c.Token))
		}
		holders[c.Token] = c.Holder
	}
	return violations
}

// UsageRecord returns the record of the duty to report usage.
func (s *Store) UsageRecord() usage.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage.record
}

// SetUsageRecord replaces the record of the duty to report usage.
func (s *Store) SetUsageRecord(r usage.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.usage.record = r
	if r.Holder != "" {
		s.usage.record.Stored.Number = s.revision
	}
}

func (c client) ReadUsage(ctx context.Context) (usage.Record, error) {
	if err := c.call(ctx, c.vm); err != nil {
		return usage.Record{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.usage.record
	r.Counts, r.Stored.Era = maps.Clone(r.Counts), c.era
	return r, nil
}

func (c client) WriteUsage(ctx context.Context, r usage.Record) (state.Revision, error) {
	if err := c.call(ctx, c.vm); err != nil {
		return state.Revision{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.usage.record
	if r.Stored.Number != before.Stored.Number {
		return state.Revision{}, errors.New("the record was changed by another VM")
	}
	c.recordUndo(func() { c.usage.record = before })
	c.revision++
	r.Stored = state.Revision{Era: c.era, Number: c.revision}
	r.Counts = maps.Clone(r.Counts)
	c.usage.record = r
	return r.Stored, nil
}

// ReportUsage implements usagereport.Platform.
func (c client) ReportUsage(ctx context.Context, window int64, counts usage.Counts, holder string, token uint64) error {
	u := UsageCall{Window: window, Counts: maps.Clone(counts), Holder: holder, Token: token}
	c.mu.Lock()
	unavailable, late, delay := c.usage.unavailable, c.usage.late > 0, c.usage.lateDelay
	if late && !unavailable {
		c.usage.late--
	}
	c.mu.Unlock()
	switch {
	case unavailable:
		return errors.New("the platform is unavailable")
	case late:
		time.AfterFunc(delay, func() { c.acceptUsage(u) })
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(storeLatency)
	if !c.acceptUsage(u) {
		return usagereport.ErrRefused
	}
	return nil
}

// acceptUsage carries out a call to report usage and reports whether its token was
// accepted.
func (s *Store) acceptUsage(u UsageCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.At = time.Now()
	u.Refused = u.Token < s.usage.highestToken
	s.usage.highestToken = max(s.usage.highestToken, u.Token)
	if !u.Refused {
		if s.usage.accepted == nil {
			s.usage.accepted = make(map[int64]usage.Counts)
		}
		former, known := s.usage.accepted[u.Window]
		u.Differs = known && !maps.Equal(former, u.Counts)
		if !known {
			s.usage.accepted[u.Window] = u.Counts
		}
	}
	s.usage.calls = append(s.usage.calls, u)
	return !u.Refused
}
