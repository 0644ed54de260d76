package managed

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlfront"
)

// Client is a client's session on a VM. Its requests run one at a time.
type Client struct {
	conn net.Conn
	r    *bufio.Reader
	last int // number of the last request, part of its id
	name string
}

// Connect opens a session on the VM for a customer. If it is refused, the client is
// nil and the answer holds the reason.
func (vm *VM) Connect(name, database string, customer int) (*Client, statement.Answer) {
	return vm.ConnectWithKey(name, database, Key(customer))
}

// ConnectWithKey is like Connect, with the given access key.
func (vm *VM) ConnectWithKey(name, database, key string) (*Client, statement.Answer) {
	host := vm.deployment.Net.Host("client-"+name, vm.Zone)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := host.Dial(ctx, fmt.Sprintf("%s:%d", vm.Name, clientPort))
	if err != nil {
		return nil, statement.Refusal(statement.Unreachable, err.Error())
	}
	c := &Client{conn: conn, r: bufio.NewReader(conn), name: name}
	if _, err := conn.Write(appendJSON(nil, sqlfront.Start{Database: database, Key: key})); err != nil {
		return nil, statement.Refusal(statement.Lost, err.Error())
	}
	var a statement.Answer
	if err := readJSON(c.r, &a); err != nil {
		return nil, statement.Refusal(statement.Lost, err.Error())
	}
	if a.Code != statement.OK {
		conn.Close()
		return nil, a
	}
	return c, a
}

// Close closes the session's connection.
func (c *Client) Close() { c.conn.Close() }

// Do sends a request and returns its id and answer. The answer has the code Lost if
// the connection breaks.
func (c *Client) Do(verb statement.Verb, payload string) (string, statement.Answer) {
	return c.Request(statement.Request{Verb: verb, Payload: payload})
}

// Request is like Do for a whole request, of which it sets the id.
func (c *Client) Request(r statement.Request) (string, statement.Answer) {
	c.last++
	r.ID = fmt.Sprintf("%s/%d", c.name, c.last)
	if _, err := c.conn.Write(appendJSON(nil, r)); err != nil {
		return r.ID, statement.Refusal(statement.Lost, err.Error())
	}
	var a statement.Answer
	if err := readJSON(c.r, &a); err != nil {
		return r.ID, statement.Refusal(statement.Lost, err.Error())
	}
	return r.ID, a
}
