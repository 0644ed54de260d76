package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
)

// putOverhead is the room in a Put around its value.
const putOverhead = 1 << 10

func (s *Store) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storeapi.PathObjects+"{name...}", s.serveGet)
	mux.HandleFunc("PUT "+storeapi.PathObjects+"{name...}", s.servePut)
	mux.HandleFunc("GET "+storeapi.PathVMs, s.serveVMs)
	return mux
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// enter counts a call and waits as long as faults make it wait. It cuts the
// connection if the store is out of service in that way.
func (s *Store) enter(r *http.Request, k Kind) {
	latency := s.faults.arrive(k)
	s.passOutage(r.Context())
	if latency > 0 {
		sleep(r.Context(), latency)
	}
}

// passOutage waits for the end of an outage that hangs calls.
func (s *Store) passOutage(ctx context.Context) {
	for {
		outage, changed := s.faults.state()
		switch outage {
		case InService:
			return
		case Refusing:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// leave answers a call with JSON, after an outage that began during it.
func (s *Store) leave(w http.ResponseWriter, r *http.Request, status int, body any) {
	s.passOutage(r.Context())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a failed connection is the caller's concern
}

func validName(name string) bool {
	return !slices.Contains(strings.Split(name, "/"), "")
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	name, query := r.PathValue("name"), r.URL.Query()
	watch := query.Has("after")
	s.enter(r, kindOfGet(watch))
	if !validName(name) {
		http.Error(w, "invalid object name", http.StatusBadRequest)
		return
	}
	if watch {
		s.serveWatch(w, r, name, query)
		return
	}
	var o storeapi.Object
	var found bool
	s.mustDecide(r, name, func() { o, found = s.objects.get(name) })
	if !found {
		http.Error(w, "object does not exist", http.StatusNotFound)
		return
	}
	s.leave(w, r, http.StatusOK, o)
}

func kindOfGet(watch bool) Kind {
	if watch {
		return Watch
	}
	return Get
}

// mustDecide runs a decision, and ends the handler if the request ended first.
func (s *Store) mustDecide(r *http.Request, name string, decision func()) {
	if !s.decide(r.Context(), name, decision) {
		panic(http.ErrAbortHandler)
	}
}

// watchOf reads the parameters of a watch. Without a wait it does not wait; a
// wait above the longest allowed is shortened.
func watchOf(query url.Values) (after uint64, wait time.Duration, err error) {
	after, err = strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil || !query.Has("wait") {
		return after, 0, err
	}
	wait, err = time.ParseDuration(query.Get("wait"))
	return after, min(wait, storeapi.MaxWait), err
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, name string, query url.Values) {
	after, wait, err := watchOf(query)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		var o storeapi.Object
		var changed <-chan struct{}
		s.mustDecide(r, name, func() { o, changed = s.objects.newer(name, after) })
		if changed == nil {
			s.leave(w, r, http.StatusOK, o)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.passOutage(r.Context())
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	put, status, reason := readPut(w, r)
	s.enter(r, Put)
	if reason == "" && !validName(name) {
		status, reason = http.StatusBadRequest, "invalid object name"
	}
	if reason != "" {
		http.Error(w, reason, status)
		return
	}
	var o storeapi.Object
	var updated bool
	s.mustDecide(r, name, func() { o, updated = s.objects.update(name, put) })
	if s.faults.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	if !updated {
		s.leave(w, r, http.StatusConflict, o)
		return
	}
	s.leave(w, r, http.StatusOK, o)
}

// readPut reads a conditional update. The reason is empty if it is valid.
func readPut(w http.ResponseWriter, r *http.Request) (put storeapi.Put, status int, reason string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storeapi.MaxValue+putOverhead))
	if err != nil {
		return put, http.StatusRequestEntityTooLarge, err.Error()
	}
	if err := json.Unmarshal(body, &put); err != nil {
		return put, http.StatusBadRequest, err.Error()
	}
	switch {
	case len(put.Value) == 0:
		return put, http.StatusBadRequest, "the value is missing"
	case len(put.Value) > storeapi.MaxValue:
		return put, http.StatusRequestEntityTooLarge, "the value is too large"
	}
	return put, http.StatusOK, ""
}

func (s *Store) serveVMs(w http.ResponseWriter, r *http.Request) {
	s.enter(r, ListVMs)
	var vms []storeapi.VM
	s.mustDecide(r, storeapi.PathVMs, func() { vms = s.vms.get(time.Now()) })
	if vms == nil {
		vms = []storeapi.VM{}
	}
	s.leave(w, r, http.StatusOK, vms)
}
