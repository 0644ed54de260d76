package main

import (
	"bufio"
	_ "embed" // for the templates
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"text/template"
	"time"
)

//go:embed server.tmpl
var serverText string

// serverTemplate is the registration of an instance.
var serverTemplate = template.Must(template.New("server").Parse(serverText))

//go:embed wire.json
var wireText []byte

// wire has the words of the platform's messages that Go code needs.
var wire = func() (w struct{ After, Holder, Token string }) {
	if err := json.Unmarshal(wireText, &w); err != nil {
		panic(err)
	}
	return w
}()

// run is a statement of a client that an instance ran.
type run struct {
	at             time.Duration // since the start of the case
	instance, id   string
	text           string
	tx             int // number of the transaction on its instance; zero outside of one
	committed      bool
	connection     int
	startedRunning time.Duration
}

// service is a stand-in for a database: one primary and replicas.
type service struct {
	name string
	bed  *testbed

	mu        sync.Mutex
	term      uint64
	log       []string // ids of the committed writes
	instances map[string]*instance
	runs      []*run
	work      time.Duration // of a read, write or commit
	nextTx    int
	nextConn  int
}

type instance struct {
	service *service
	id      string
	zone    string
	address string
	born    int64
	seq     int
	primary bool
}

func (s *service) position() string { return fmt.Sprintf("%d.%d", s.term, len(s.log)) }

// addInstance starts an instance and registers it.
func (s *service) addInstance(id, zone string, primary bool) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	i := &instance{service: s, id: id, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), primary: primary}
	s.mu.Lock()
	s.instances[id] = i
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go i.serve(c)
		}
	}()
	go func() {
		for {
			i.register()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

func (i *instance) register() {
	s := i.service
	s.mu.Lock()
	role := "replica"
	if i.primary {
		role = "primary"
	}
	i.seq++
	spec := render(serverTemplate, map[string]any{
		"Service": s.name, "Address": i.address, "Zone": i.zone, "Role": role, "Seq": i.seq, "Born": i.born,
	})
	s.mu.Unlock()
	s.bed.store.put("servers", i.id, spec)
}

// promote makes an instance the primary. It has the complete log, since replicas of
// this stand-in do not lag.
func (s *service) promote(id string) bool {
	s.mu.Lock()
	i := s.instances[id]
	if i == nil {
		s.mu.Unlock()
		return false
	}
	if i.primary {
		s.mu.Unlock()
		return true
	}
	for _, other := range s.instances {
		other.primary = false
	}
	i.primary = true
	s.term++
	s.mu.Unlock()
	i.register()
	return true
}

// servePromotion is the platform's call that designates a primary.
func (b *testbed) servePromotion(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get(wire.Token), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || b.services[body.Service] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	refused := token < b.fences[body.Service]
	b.fences[body.Service] = max(token, b.fences[body.Service])
	b.mu.Unlock()
	b.recordf("platform: promotion of %s by %s with token %d, refused %v", body.ID, r.Header.Get(wire.Holder), token, refused)
	if refused || !b.services[body.Service].promote(body.ID) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

// dbSession is a connection to an instance.
type dbSession struct {
	i        *instance
	number   int
	state    string // I, T or E
	tx       int
	readOnly bool
	pending  []*run // writes of the open transaction
	prepared map[string]string
}

func (i *instance) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 2<<20)
	line, err := readMessage(r)
	if err != nil {
		return
	}
	words := strings.Fields(line)
	if len(words) < 3 || words[0] != "START" || words[1] != i.service.name || len(words) > 3 && words[3] != i.id {
		fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", i.id)
		return
	}
	s := i.service
	s.mu.Lock()
	s.nextConn++
	d := &dbSession{i: i, number: s.nextConn, state: "I", prepared: make(map[string]string)}
	position := s.position()
	s.mu.Unlock()
	time.Sleep(12 * time.Millisecond)
	fmt.Fprintf(c, "READY I %s\r\n", position)
	for {
		line, err := readMessage(r)
		if err != nil {
			return // what is open is rolled back
		}
		rest, ok := strings.CutPrefix(line, "QUERY ")
		if !ok {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if _, err := c.Write([]byte(d.handle(id, text))); err != nil {
			return
		}
	}
}

func readMessage(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}

func (d *dbSession) ready() string {
	return fmt.Sprintf("READY %s %s\r\n", d.state, d.i.service.position())
}

// done ends an answer without an error. The caller holds the service's mu.
func (d *dbSession) done(rows ...string) string {
	answer := ""
	for _, row := range rows {
		answer += "DATAROW " + row + "\r\n"
	}
	return answer + "COMPLETE sig." + d.i.id + "\r\n" + d.ready()
}

// fail ends an answer with an error. The caller holds the service's mu.
func (d *dbSession) fail(code string) string {
	if d.state == "T" {
		d.state, d.pending = "E", nil
	}
	return "ERROR " + code + " " + d.i.id + "\r\n" + d.ready()
}

// handle runs a query and returns the answer.
func (d *dbSession) handle(id, text string) string {
	s := d.i.service
	verb, rest, _ := strings.Cut(text, " ")
	if verb == wire.After {
		_, text, _ = strings.Cut(rest, " ") // replicas of this stand-in never lag
		verb, rest, _ = strings.Cut(text, " ")
	}
	if verb == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		shape, known := d.prepared[name]
		if !known {
			s.mu.Lock()
			defer s.mu.Unlock()
			return d.fail("NOSTMT")
		}
		verb, rest = shape, args
	}
	started := s.bed.since()
	if verb == "READ" || verb == "WRITE" || verb == "COMMIT" {
		s.mu.Lock()
		work := s.work
		s.mu.Unlock()
		time.Sleep(work)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return d.fail("MALFORMED")
	}
	lostLead := !d.i.primary && (d.state == "T" && !d.readOnly || verb == "WRITE" || verb == "BEGIN" && rest != "READ")
	if lostLead && verb != "ROLLBACK" {
		return d.fail("READONLY")
	}
	switch verb {
	case "BEGIN":
		s.nextTx++
		d.state, d.tx, d.readOnly = "T", s.nextTx, rest == "READ"
		return d.done()
	case "COMMIT":
		if d.state != "T" {
			failed := d.state == "E"
			d.state, d.tx = "I", 0
			if failed {
				return d.fail("ABORTED")
			}
			return d.fail("MALFORMED")
		}
		for _, w := range d.pending {
			w.committed = true
			s.log = append(s.log, w.id)
		}
		s.record(d, id, text, started, false)
		d.state, d.tx, d.pending = "I", 0, nil
		return d.done()
	case "ROLLBACK":
		d.state, d.tx, d.pending = "I", 0, nil
		return d.done()
	case "READ":
		s.record(d, id, text, started, false)
		return d.done("row-of-" + rest)
	case "WRITE":
		w := s.record(d, id, text, started, d.tx == 0)
		if d.tx == 0 {
			s.log = append(s.log, id)
		} else {
			d.pending = append(d.pending, w)
		}
		return d.done()
	case "SET":
		return d.done()
	case "PARSE":
		name, rest, _ := strings.Cut(rest, " ")
		mode, _, _ := strings.Cut(rest, " ")
		d.prepared[name] = mode
		return d.done()
	case "CLOSE":
		delete(d.prepared, rest)
		return d.done()
	case "DISCARD":
		d.prepared = make(map[string]string)
		return d.done()
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		role := "replica"
		if d.i.primary {
			role = "primary"
		}
		if verb == "STEPDOWN" {
			d.i.primary, role = false, "replica"
		}
		return d.done(fmt.Sprintf("%s %d %s %d 0 0 1", role, s.term, s.position(), s.term))
	}
	return d.fail("MALFORMED")
}

// record records a statement that ran. The caller holds mu.
func (s *service) record(d *dbSession, id, text string, started time.Duration, committed bool) *run {
	r := &run{at: s.bed.since(), startedRunning: started, instance: d.i.id, id: id, text: text, tx: d.tx, committed: committed, connection: d.number}
	if id != "-" {
		s.runs = append(s.runs, r)
		s.bed.recordf("instance %s: ran %s %s, connection %d, transaction %d, started at %.3f s", d.i.id, id, text, d.number, d.tx, started.Seconds())
	}
	return r
}

// find returns the runs of the statement with an id.
func (s *service) find(id string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []run
	for _, r := range s.runs {
		if r.id == id {
			found = append(found, *r)
		}
	}
	return found
}
