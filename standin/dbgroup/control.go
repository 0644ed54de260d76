package dbgroup

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/chestnutdyke/chestnutdyke/protocol/groupapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// orderLimit is the greatest size of a control request in bytes.
const orderLimit = 1 << 16

// controlServer serves the control interface until ctx ends.
func (s *Server) controlServer(ctx context.Context) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+groupapi.PathStatus, s.controlled(s.orderStatus))
	mux.HandleFunc("POST "+groupapi.PathAdopt, s.controlled(s.orderAdopt))
	mux.HandleFunc("POST "+groupapi.PathPromote, s.controlled(s.orderPromote))
	mux.HandleFunc("POST "+groupapi.PathFollow, s.controlled(s.orderFollow))
	mux.HandleFunc("POST "+groupapi.PathResume, s.controlled(s.orderResume))
	mux.HandleFunc("POST "+groupapi.PathSwitchover, s.switchover)
	return &http.Server{
		Handler:     mux,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
}

// controlled decodes an order, carries it out on the server's queue and answers
// it.
func (s *Server) controlled(carryOut func(groupapi.Order) (refused string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		order, ok := readOrder(w, r)
		if !ok {
			return
		}
		writeAnswer(w, s.decide(r.Context(), order, carryOut))
	}
}

func readOrder(w http.ResponseWriter, r *http.Request) (groupapi.Order, bool) {
	var order groupapi.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, orderLimit)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return order, false
	}
	return order, true
}

func writeAnswer(w http.ResponseWriter, answer groupapi.Answer) {
	w.Header().Set("Content-Type", "application/json")
	if answer.Refused != "" {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(answer) // a failed connection is the caller's concern
}

// decide runs a decision on a worker once the server is not paused. If the
// request or the server ends first, it cuts the connection; a handler that
// merely returned would answer with status 200.
func (s *Server) decide(ctx context.Context, order groupapi.Order, carryOut func(groupapi.Order) string) groupapi.Answer {
	select {
	case <-s.sessions.untilResumed():
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	answers := make(chan groupapi.Answer, 1)
	s.queue.PostAlways(func() {
		refused := carryOut(order)
		answers <- groupapi.Answer{Refused: refused, Status: s.node.status()}
	})
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) orderStatus(groupapi.Order) string { return "" }

func (s *Server) orderAdopt(o groupapi.Order) string { return s.changed(s.node.adopt(o.Term)) }

func (s *Server) orderPromote(o groupapi.Order) string {
	return s.changed(s.node.promote(o.Term, s.group.history.promoted))
}

func (s *Server) orderResume(o groupapi.Order) string { return s.changed(s.node.resume(o.Term)) }

func (s *Server) orderFollow(o groupapi.Order) string {
	if reason := s.notAnother(o.Server); reason != "" {
		return reason
	}
	return s.changed(s.node.follow(o.Term, o.Server))
}

// notAnother returns why the name is not that of another server of the group.
func (s *Server) notAnother(name string) string {
	if s.group.byName[name] == nil || name == s.Name() {
		return "no other server of the group is named " + name
	}
	return ""
}

// changed lets replication and waiting orders take account of an order that was
// carried out.
func (s *Server) changed(refused string) string {
	if refused == "" {
		s.group.poke()
		s.group.progress.notify()
	}
	return refused
}

// switchover refuses writes and answers once the other server holds the whole
// log, or the order is refused or given up.
func (s *Server) switchover(w http.ResponseWriter, r *http.Request) {
	order, ok := readOrder(w, r)
	if !ok {
		return
	}
	answer := s.decide(r.Context(), order, s.orderDrain)
	for answer.Refused == "" {
		changed := s.group.progress.next()
		done := false
		answer = s.decide(r.Context(), order, func(o groupapi.Order) (refused string) {
			done, refused = s.handedOver(o)
			return refused
		})
		if done {
			break
		}
		if answer.Refused == "" {
			s.await(r.Context(), changed)
		}
	}
	writeAnswer(w, answer)
}

// await waits for a change, or cuts the connection if the request ends first.
func (s *Server) await(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) orderDrain(o groupapi.Order) string {
	if reason := s.notAnother(o.Server); reason != "" {
		return reason
	}
	return s.changed(s.node.drain(o.Term, o.Server))
}

// handedOver reports whether the other server holds the whole log.
func (s *Server) handedOver(o groupapi.Order) (done bool, refused string) {
	drained, last, refused := s.node.drained(o.Term, o.Server)
	if !drained || refused != "" {
		return false, refused
	}
	other := s.group.byName[o.Server].node.status()
	return last == state.Point{Term: other.LogTerm, Position: other.Position}, ""
}
