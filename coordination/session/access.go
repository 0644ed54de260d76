package session

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/access"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// checkAccess decides whether the session may run a request now, and records the
// customer whose limit the request counts against.
func (d *Decider) checkAccess(s *state.Session, now time.Time) Outcome {
	out := d.access(s, now)
	if out.Allowed() {
		s.Customer = out.Customer
		return Outcome{Kind: Answered}
	}
	return Refused(accessReasons[out.Reason])
}

func (d *Decider) access(s *state.Session, now time.Time) access.Outcome {
	return access.Check(d.Tables.Config.Current(), d.Tables.Config.Freshness(), now, access.Request{
		Customer: s.Login,
		Route:    s.Route,
		Key:      s.Key,
		HasKey:   s.HasKey,
	})
}

// recheckAccess is called before a request that has waited is sent. It returns nil if the
// session may still run the request, and the effects of the refusal otherwise. The request
// still counts against the customer that it was admitted for.
func (d *Decider) recheckAccess(s *state.Session, now time.Time) []Effect {
	out := d.access(s, now)
	if out.Allowed() {
		return nil
	}
	return d.refuseAccess(s, Refused(accessReasons[out.Reason]))
}

var accessReasons = map[access.Reason]Reason{
	access.UnknownCustomer: KeyRefused,
	access.WrongKey:        KeyRefused,
	access.RevokedKey:      KeyRefused,
	access.RouteNotAllowed: RouteRefused,
	access.UnknownRoute:    RouteUnknown,
	access.CutOff:          CutOff,
	access.NoConfiguration: NoConfiguration,
}

// refuseAccess refuses a request that the session may not run. If its key was refused or
// if it has an open transaction, which it could not end, the session ends: the requests that
// were read are refused as well, so that each has an answer.
func (d *Decider) refuseAccess(s *state.Session, out Outcome) []Effect {
	if out.Reason != KeyRefused && !s.InTransaction && !s.Ending {
		return d.refuse(s, out)
	}
	effects := d.discardConn(s)
	if !s.Ending {
		effects = append(effects, EndSession{Outcome: out})
	}
	s.Ending, s.InTransaction, s.ReplayingBegin = true, false, false
	if s.MayHaveRun {
		out.Kind = Unknown
	}
	return append(effects, d.finish(s, out)...)
}
