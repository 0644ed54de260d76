package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storePage is the number of objects in one page of a list.
const storePage = 500

type storeMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeObject struct {
	Meta   storeMeta       `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind     string
	revision uint64
	Object   storeObject `json:"object"`
	Deleted  bool        `json:"deleted"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storeObject // by kind and name
	history  []storeEvent
	changed  chan struct{} // closed at the next change
}

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]map[string]storeObject), changed: make(chan struct{})}
}

// write applies a change. The caller holds mu.
func (s *store) write(kind string, o storeObject, deleted bool) storeObject {
	s.revision++
	o.Meta.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storeObject)
	}
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	if deleted {
		delete(s.objects[kind], o.Meta.Name)
	} else {
		s.objects[kind][o.Meta.Name] = o
	}
	s.history = append(s.history, storeEvent{kind: kind, revision: s.revision, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes an object as the operator or an instance does.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if string(o.Spec) == string(b) {
		return
	}
	o.Meta.Name, o.Spec = name, b
	s.write(kind, o, false)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > storePage
	if more {
		names = names[:storePage]
	}
	items := []storeObject{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	asOf := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err1 := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in storeObject
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		if o, found := s.objects[kind][in.Meta.Name]; found {
			reply(w, http.StatusConflict, o)
			return
		}
		in.Meta.Created = 0
		reply(w, http.StatusOK, s.write(kind, in, false))
		return
	}
	o, found := s.objects[kind][name]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	expected := in.Meta.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expected, _ = strconv.ParseUint(q, 10, 64)
	}
	if expected != 0 && expected != o.Meta.Revision {
		reply(w, http.StatusConflict, o)
		return
	}
	switch {
	case r.Method == http.MethodDelete:
		reply(w, http.StatusOK, s.write(kind, o, true))
		return
	case isStatus:
		o.Status = in.Status
	case string(o.Spec) == string(in.Spec):
		reply(w, http.StatusOK, o) // a change of nothing does not increase the revision
		return
	default:
		o.Spec, o.Meta.Finalizers = in.Spec, in.Meta.Finalizers
	}
	reply(w, http.StatusOK, s.write(kind, o, false))
}
