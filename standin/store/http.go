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

// putOverhead is the size in bytes that a Put may have besides its value.
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

// begin counts a call and delays it according to the faults. It aborts the call and
// closes its connection during an outage that refuses connections.
func (s *Store) begin(r *http.Request, k CallKind) {
	latency := s.faults.countCall(k)
	s.waitForOutage(r.Context())
	if latency > 0 {
		sleep(r.Context(), latency)
	}
}

// waitForOutage waits until an outage that hangs calls ends. It aborts the call when
// an outage refuses connections, or when ctx ends.
func (s *Store) waitForOutage(ctx context.Context) {
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

// sleep waits for the duration, and aborts the call if ctx ends before.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// answer answers a call with JSON, after the end of an outage that began during it.
func (s *Store) answer(w http.ResponseWriter, r *http.Request, status int, body any) {
	s.waitForOutage(r.Context())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller's connection does
}

// validName reports whether no part of the object name between slashes is empty.
func validName(name string) bool {
	return !slices.Contains(strings.Split(name, "/"), "")
}

// serveGet answers a read or a watch of an object.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	name, query := r.PathValue("name"), r.URL.Query()
	watch := query.Has("after")
	s.begin(r, getKind(watch))
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
	s.answer(w, r, http.StatusOK, o)
}

func getKind(watch bool) CallKind {
	if watch {
		return Watch
	}
	return Get
}

// mustDecide runs a decision, and aborts the call if the request ended first.
func (s *Store) mustDecide(r *http.Request, name string, decision func()) {
	if !s.decide(r.Context(), name, decision) {
		panic(http.ErrAbortHandler)
	}
}

// parseWatch parses the parameters of a watch. The wait is zero if it is missing, and
// at most storeapi.MaxWait.
func parseWatch(query url.Values) (after uint64, wait time.Duration, err error) {
	after, err = strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil || !query.Has("wait") {
		return after, 0, err
	}
	wait, err = time.ParseDuration(query.Get("wait"))
	return after, min(wait, storeapi.MaxWait), err
}

// serveWatch answers with the object once its version is above the given one, or with
// status 304 after the wait.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, name string, query url.Values) {
	after, wait, err := parseWatch(query)
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
			s.answer(w, r, http.StatusOK, o)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.waitForOutage(r.Context())
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// servePut executes a conditional update. It answers with the updated object, or with
// status 409 and the current object if the version differs.
func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	put, status, reason := readPut(w, r)
	s.begin(r, Put)
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
	if s.faults.dropsAnswer() {
		panic(http.ErrAbortHandler)
	}
	if !updated {
		s.answer(w, r, http.StatusConflict, o)
		return
	}
	s.answer(w, r, http.StatusOK, o)
}

// readPut decodes a conditional update. The reason is empty if the update is valid;
// otherwise status and reason are the answer.
func readPut(w http.ResponseWriter, r *http.Request) (put storeapi.Put, status int, reason string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storeapi.MaxValueBytes+putOverhead))
	if err != nil {
		return put, http.StatusRequestEntityTooLarge, err.Error()
	}
	if err := json.Unmarshal(body, &put); err != nil {
		return put, http.StatusBadRequest, err.Error()
	}
	switch {
	case len(put.Value) == 0:
		return put, http.StatusBadRequest, "the value is missing"
	case len(put.Value) > storeapi.MaxValueBytes:
		return put, http.StatusRequestEntityTooLarge, "the value is too large"
	}
	return put, http.StatusOK, ""
}

// serveVMs answers with the list of VMs that calls see now.
func (s *Store) serveVMs(w http.ResponseWriter, r *http.Request) {
	s.begin(r, ListVMs)
	var vms []storeapi.VM
	s.mustDecide(r, storeapi.PathVMs, func() { vms = s.vms.get(time.Now()) })
	if vms == nil {
		vms = []storeapi.VM{}
	}
	s.answer(w, r, http.StatusOK, vms)
}
