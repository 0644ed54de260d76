// Package managed simulates a platform that keeps the configuration in a store,
// runs database groups and promotes primaries on request. Tests run fleets of
// chestnutdyke.Node on it in virtual time and inject faults.
//
// It implements the interfaces of the transport layer and does not depend on a
// particular platform. Messages of its wire protocols are lines of JSON. Package
// fleet runs fleets of chestnutdyke.VM instead, on simulated PostgreSQL servers.
package managed

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlback"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlfront"
)

// startMessage is the first message on a connection to a backend server.
type startMessage struct{ Group, Customer, Server string }

// Clients implements sqlfront.Dialect, the VMs' side of the protocol between
// clients and VMs.
type Clients struct {
	onRequest func(id string) // called for each request that was read, unless nil
}

// Servers implements sqlback.Dialect, the VMs' side of the protocol between VMs and
// backend servers.
type Servers struct{}

func appendJSON(dst []byte, v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return append(append(dst, b...), '\n')
}

func readJSON(r *bufio.Reader, v any) error {
	line, err := r.ReadBytes('\n')
	if err != nil {
		return err
	}
	return json.Unmarshal(line, v)
}

// ReadStart implements sqlfront.Dialect.
func (Clients) ReadStart(r *bufio.Reader) (s sqlfront.Start, err error) {
	return s, readJSON(r, &s)
}

// ReadRequest implements sqlfront.Dialect.
func (c Clients) ReadRequest(r *bufio.Reader) (request statement.Request, ok bool, err error) {
	err = readJSON(r, &request)
	if err == nil && c.onRequest != nil {
		c.onRequest(request.ID)
	}
	if errors.Is(err, io.EOF) {
		return request, false, nil
	}
	return request, err == nil, err
}

// AppendReady implements sqlfront.Dialect.
func (Clients) AppendReady(dst []byte) []byte { return appendJSON(dst, statement.Answer{}) }

// AppendRefusal implements sqlfront.Dialect.
func (Clients) AppendRefusal(dst []byte, a *statement.Answer) []byte { return appendJSON(dst, a) }

// AppendAnswer implements sqlfront.Dialect.
func (Clients) AppendAnswer(dst []byte, a *statement.Answer) []byte { return appendJSON(dst, a) }

// AppendStart implements sqlback.Dialect.
func (Servers) AppendStart(dst []byte, group, customer, server string) []byte {
	return appendJSON(dst, startMessage{group, customer, server})
}

// ReadStarted implements sqlback.Dialect.
func (Servers) ReadStarted(r *bufio.Reader) (a statement.Answer, err error) {
	return a, readJSON(r, &a)
}

// AppendCommand implements sqlback.Dialect.
func (Servers) AppendCommand(dst []byte, c *statement.Command) []byte { return appendJSON(dst, c) }

// ReadAnswer implements sqlback.Dialect.
func (Servers) ReadAnswer(r *bufio.Reader) (a statement.Answer, err error) { return a, readJSON(r, &a) }

// DecodeReport implements sqlback.Dialect.
func (Servers) DecodeReport(row string) (sqlback.Report, error) {
	var r sqlback.Report
	var role string
	_, err := fmt.Sscanf(row, "%s %d %d %d %d", &role, &r.Received.Term, &r.Received.Position, &r.PausedBy, &r.Connections)
	r.Primary, r.Term = role == "primary", r.Received.Term
	return r, err
}

// Backend implements Codec, the backend servers' side of the protocol of Servers.
type Backend struct{}

// ReadOpening implements Codec.
func (Backend) ReadOpening(r *bufio.Reader) (group, customer, server string, err error) {
	var start startMessage
	err = readJSON(r, &start)
	return start.Group, start.Customer, start.Server, err
}

// ReadCommand implements Codec.
func (Backend) ReadCommand(r *bufio.Reader) (c statement.Command, err error) {
	return c, readJSON(r, &c)
}

// AppendOpened implements Codec.
func (Backend) AppendOpened(dst []byte, a *statement.Answer) []byte { return appendJSON(dst, a) }

// AppendAnswer implements Codec.
func (Backend) AppendAnswer(dst []byte, a *statement.Answer) []byte { return appendJSON(dst, a) }

// EncodeReport implements Codec.
func (Backend) EncodeReport(primary bool, p state.Point, pausedBy uint64, connections int) string {
	role := "replica"
	if primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %d %d %d", role, p.Term, p.Position, pausedBy, connections)
}
