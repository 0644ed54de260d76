package sqlsession

import (
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// accessTexts say why a session may not run a request any more.
var accessTexts = map[statement.Code]string{
	statement.UnknownDatabase: "the database is not in the configuration",
	statement.AccessDenied:    "the key is not valid",
	statement.Aborted:         "the key belongs to another customer now",
}

// checkAccess returns OK if the configuration allows the session's next request, and the
// code of the refusal otherwise. An open transaction keeps the properties that its route had
// at BEGIN, but it ends if its route is removed, or if the key is withdrawn or belongs to
// another customer.
func (s *Session) checkAccess(config *catalog.Config) statement.Code {
	if s.denied != statement.OK {
		return s.denied
	}
	_, _, code := s.access(config)
	if s.phase == txNone || code == statement.UnknownDatabase {
		return code
	}
	if customer, allowed := s.customerOn(s.route, config); allowed == statement.OK && customer == s.customer {
		return statement.OK
	}
	if code == statement.OK {
		return statement.Aborted // the client may begin a transaction of the other customer
	}
	return code
}

// refuseAccess refuses a request that the configuration does not allow. An open transaction
// ends, and nothing of it is kept, because its COMMIT was not sent. Otherwise the session is
// closed.
func (s *Session) refuseAccess(r statement.Request, code statement.Code) Step {
	if s.phase == txNone {
		s.denied = code
		return Step{Answer: s.refusal(code, accessTexts[code]), Close: true}
	}
	step := Step{Customer: s.customer, End: s.endTx()}
	if r.Verb != statement.Commit {
		s.phase = txFailed // until the client ends the transaction
	}
	step.Answer = s.refusal(code, accessTexts[code])
	return step
}

// Recheck decides whether an operation that no server is running may still be sent. It
// returns the refusal if the configuration has withdrawn the session's access while the
// operation waited, and false otherwise. Statements of a transaction that is open on a server
// are sent as soon as Handle has checked them.
func (s *Session) Recheck(o *Operation, config *catalog.Config) (statement.Answer, bool) {
	if o.Tx.ID != 0 {
		return statement.Answer{}, false
	}
	code := s.checkAccess(config)
	if code == statement.OK && s.phase == txNone && s.Customer(config) != o.Customer {
		code = statement.Aborted
	}
	return statement.Refusal(code, accessTexts[code]), code != statement.OK
}
