package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns an ID for a statement.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+lastID.Add(1)) }

// client is a client's session.
type client struct {
	name   string
	conn   net.Conn
	r      *bufio.Reader
	record *recorder
}

// reply is the answer to a query.
type reply struct {
	rows      []string
	signature string // of a success
	code      string // of an error, or "broken" if the connection ended
	state     string
}

func (a reply) ok() bool { return a.code == "" }

func (a reply) String() string {
	if a.ok() {
		return "COMPLETE " + a.signature + ", state " + a.state
	}
	return a.code + ", state " + a.state
}

// dial opens a session at a VM.
func dial(rec *recorder, name, address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, r: bufio.NewReader(conn), record: rec}
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return nil, err
	}
	fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	line, err := readWireLine(c.r)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("refused: %s", line)
	}
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { c.conn.Close() }

// exchange sends a statement and waits for its answer.
func (c *client) exchange(id, text string) reply {
	var a reply
	if err := c.conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return reply{code: "broken: " + err.Error()}
	}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return reply{code: "broken: " + err.Error()}
	}
	for {
		line, err := readWireLine(c.r)
		if err != nil {
			return reply{code: "broken: " + err.Error()}
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code = rest
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}
