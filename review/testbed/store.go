package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeEvent is a change of an object.
type storeEvent struct {
	revision uint64
	kind     string
	object   map[string]any
	deleted  bool
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex // guards the fields below
	revision uint64
	objects  map[string]map[string]map[string]any // by kind and name
	events   []storeEvent
	changed  chan struct{} // closed and replaced on each change
}

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]map[string]map[string]any), changed: make(chan struct{})}
}

// put creates or replaces an object. The caller holds mu.
func (s *store) put(kind, name string, spec any) map[string]any {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]map[string]any)
	}
	object := map[string]any{
		"meta": map[string]any{"name": name, "revision": s.revision, "created": s.revision, "finalizers": []string{}, "deleting": false},
		"spec": spec, "status": nil,
	}
	s.objects[kind][name] = object
	s.notify(storeEvent{revision: s.revision, kind: kind, object: object})
	return object
}

func (s *store) notify(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes an object. The caller holds mu.
func (s *store) remove(kind, name string) {
	object := s.objects[kind][name]
	if object == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.notify(storeEvent{revision: s.revision, kind: kind, object: object, deleted: true})
}

// Put writes an object on behalf of the operator or a server.
func (s *store) Put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
}

// Remove deletes an object on behalf of the operator or a server.
func (s *store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func revisionOf(object map[string]any) uint64 {
	return object["meta"].(map[string]any)["revision"].(uint64)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		object := s.objects[kind][name]
		s.mu.Unlock()
		if object == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, object)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	default:
		s.write(w, r, kind, name)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have disconnected.
	_, _ = w.Write(encoded)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	items := []any{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	asOf := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err1 := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var request struct {
		Meta struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if len(body) > 0 && json.Unmarshal(body, &request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = request.Meta.Name
	}
	current := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && current != nil, current != nil && request.Meta.Revision != 0 && request.Meta.Revision != revisionOf(current):
		writeJSON(w, http.StatusConflict, current)
	case r.Method != http.MethodPost && current == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		writeJSON(w, http.StatusOK, current)
	default:
		writeJSON(w, http.StatusOK, s.put(kind, name, request.Spec))
	}
}
