package dbgroup

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/chestnutdyke/chestnutdyke/protocol/groupapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// maxRequestBytes is the maximum size of the body of a control request.
const maxRequestBytes = 1 << 16

// controlServer returns an HTTP server for the control interface. Pending
// requests are cancelled when ctx ends.
func (s *Server) controlServer(ctx context.Context) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+groupapi.PathStatus, s.orderHandler(s.executeStatus))
	mux.HandleFunc("POST "+groupapi.PathAdopt, s.orderHandler(s.executeAdopt))
	mux.HandleFunc("POST "+groupapi.PathPromote, s.orderHandler(s.executePromote))
	mux.HandleFunc("POST "+groupapi.PathFollow, s.orderHandler(s.executeFollow))
	mux.HandleFunc("POST "+groupapi.PathResume, s.orderHandler(s.executeResume))
	mux.HandleFunc("POST "+groupapi.PathSwitchover, s.handleSwitchover)
	return &http.Server{
		Handler:     mux,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
}

// orderHandler returns a handler that decodes an order, executes it on the queue
// of the server and sends the response.
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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return order, false
	}
	return order, true
}

func writeResponse(w http.ResponseWriter, response groupapi.Response) {
	w.Header().Set("Content-Type", "application/json")
	if response.Refused != "" {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(response) // the client sees a failed connection itself
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
	responses := make(chan groupapi.Response, 1)
	s.queue.PostUnbounded(func() {
		refusal := execute(order)
		responses <- groupapi.Response{Refused: refusal, Status: s.node.status()}
	})
	select {
	case response := <-responses:
		return response
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) executeStatus(groupapi.Order) string { return "" }

func (s *Server) executeAdopt(o groupapi.Order) string { return s.notify(s.node.adopt(o.Term)) }

func (s *Server) executePromote(o groupapi.Order) string {
	return s.notify(s.node.promote(o.Term, s.group.history.recordTermStart))
}

func (s *Server) executeResume(o groupapi.Order) string { return s.notify(s.node.resume(o.Term)) }

func (s *Server) executeFollow(o groupapi.Order) string {
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

// handleSwitchover begins a switchover, which refuses writes of further
// transactions. It responds once no writing transaction is open and the target
// holds the whole log, or once the switchover is refused or ended by another
// order.
func (s *Server) handleSwitchover(w http.ResponseWriter, r *http.Request) {
	order, ok := readOrder(w, r)
	if !ok {
		return
	}
	response := s.executeOrder(r.Context(), order, s.executeSwitchover)
	for response.Refused == "" {
		changed := s.group.notifier.nextChange()
		done := false
		response = s.executeOrder(r.Context(), order, func(o groupapi.Order) (refusal string) {
			done, refusal = s.switchoverComplete(o)
			return refusal
		})
		if done {
			break
		}
		if response.Refused == "" {
			s.awaitChange(r.Context(), changed)
		}
	}
	writeResponse(w, response)
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

func (s *Server) executeSwitchover(o groupapi.Order) string {
	if refusal := s.refusalUnlessOther(o.Server); refusal != "" {
		return refusal
	}
	return s.notify(s.node.beginSwitchover(o.Term, o.Server))
}

// switchoverComplete reports whether no writing transaction is open and the target
// holds the whole log.
func (s *Server) switchoverComplete(o groupapi.Order) (done bool, refusal string) {
	noOpenWriters, end, refusal := s.node.switchoverStatus(o.Term, o.Server)
	if !noOpenWriters || refusal != "" {
		return false, refusal
	}
	other := s.group.byName[o.Server].node.status()
	return end == state.Point{Term: other.LogTerm, Position: other.Position}, ""
}
