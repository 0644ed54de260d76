package dbgroup

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/chestnutdyke/chestnutdyke/protocol/groupapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// maxOrderBytes is the maximum size of the body of a control request.
const maxOrderBytes = 1 << 16

// controlServer returns an HTTP server for the control interface. Pending
// requests are cancelled when ctx ends.
func (s *Server) controlServer(ctx context.Context) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+groupapi.PathStatus, s.orderHandler(s.orderStatus))
	mux.HandleFunc("POST "+groupapi.PathAdopt, s.orderHandler(s.orderAdopt))
	mux.HandleFunc("POST "+groupapi.PathPromote, s.orderHandler(s.orderPromote))
	mux.HandleFunc("POST "+groupapi.PathFollow, s.orderHandler(s.orderFollow))
	mux.HandleFunc("POST "+groupapi.PathResume, s.orderHandler(s.orderResume))
	mux.HandleFunc("POST "+groupapi.PathSwitchover, s.handleSwitchover)
	return &http.Server{
		Handler:     mux,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
}

// orderHandler returns a handler that decodes an order, executes it on the queue
// of the server and sends the answer.
func (s *Server) orderHandler(execute func(groupapi.Order) (refusal string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		order, ok := readOrder(w, r)
		if !ok {
			return
		}
		writeResponse(w, s.executeOrder(r.Context(), order, execute))
	}
}

func readOrder(w http.ResponseWriter, r *http.Request) (groupapi.Order, bool) {
	var order groupapi.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return order, false
	}
	return order, true
}

func writeResponse(w http.ResponseWriter, answer groupapi.Response) {
	w.Header().Set("Content-Type", "application/json")
	if answer.Refused != "" {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(answer) // the client sees a failed connection itself
}

// executeOrder executes an order on a worker once the server is not paused. If
// the request is cancelled or the server stops first, it aborts the connection,
// because a handler that returned would send status 200.
func (s *Server) executeOrder(ctx context.Context, order groupapi.Order, execute func(groupapi.Order) string) groupapi.Response {
	select {
	case <-s.sessions.untilResumed():
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	answered := make(chan groupapi.Response, 1)
	s.queue.PostUnbounded(func() {
		refusal := execute(order)
		answered <- groupapi.Response{Refused: refusal, Status: s.node.status()}
	})
	select {
	case answer := <-answered:
		return answer
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) orderStatus(groupapi.Order) string { return "" }

func (s *Server) orderAdopt(o groupapi.Order) string { return s.notify(s.node.adopt(o.Term)) }

func (s *Server) orderPromote(o groupapi.Order) string {
	return s.notify(s.node.promote(o.Term, s.group.history.recordTermStart))
}

func (s *Server) orderResume(o groupapi.Order) string { return s.notify(s.node.resume(o.Term)) }

func (s *Server) orderFollow(o groupapi.Order) string {
	if refusal := s.refusalUnlessOther(o.Server); refusal != "" {
		return refusal
	}
	return s.notify(s.node.follow(o.Term, o.Server))
}

// refusalUnlessOther returns the reason for refusing a name that is not that of
// another server of the group, or an empty string.
func (s *Server) refusalUnlessOther(name string) string {
	if s.group.byName[name] == nil || name == s.Name() {
		return "no other server of the group is named " + name
	}
	return ""
}

// notify schedules replication and wakes waiting switchovers after an order,
// unless it was refused. It returns the refusal.
func (s *Server) notify(refusal string) string {
	if refusal == "" {
		s.group.scheduleReplication()
		s.group.notifier.notify()
	}
	return refusal
}

// handleSwitchover begins a switchover and answers once the target holds the
// whole log, or once the switchover is refused or ended by another order.
func (s *Server) handleSwitchover(w http.ResponseWriter, r *http.Request) {
	order, ok := readOrder(w, r)
	if !ok {
		return
	}
	answer := s.executeOrder(r.Context(), order, s.orderDrain)
	for answer.Refused == "" {
		changed := s.group.notifier.nextChange()
		done := false
		answer = s.executeOrder(r.Context(), order, func(o groupapi.Order) (refusal string) {
			done, refusal = s.switchoverComplete(o)
			return refusal
		})
		if done {
			break
		}
		if answer.Refused == "" {
			s.awaitChange(r.Context(), changed)
		}
	}
	writeResponse(w, answer)
}

// awaitChange waits for a change. If the request is cancelled first, it aborts the
// connection.
func (s *Server) awaitChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) orderDrain(o groupapi.Order) string {
	if refusal := s.refusalUnlessOther(o.Server); refusal != "" {
		return refusal
	}
	return s.notify(s.node.drain(o.Term, o.Server))
}

// switchoverComplete reports whether no writing transaction is open and the target
// holds the whole log.
func (s *Server) switchoverComplete(o groupapi.Order) (done bool, refusal string) {
	drained, end, refusal := s.node.drainStatus(o.Term, o.Server)
	if !drained || refusal != "" {
		return false, refusal
	}
	other := s.group.byName[o.Server].node.status()
	return end == state.Point{Term: other.LogTerm, Position: other.Position}, ""
}
