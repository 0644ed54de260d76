// Package dbgroup is a stand-in for a database group: backend servers with the
// PostgreSQL wire protocol, asynchronous replication and the control interface
// of protocol/groupapi, and faults that a test can cause.
//
// It is built as the proxy is: reader goroutines frame messages and post events,
// a pool of workers runs all decisions over shared tables, and writer
// goroutines send answers. Each connection and each server has a queue whose
// events run one at a time. No worker blocks; a statement that waits for a slot
// or for its time to pass is continued by a later event.
//
// Lock order: sessionTable, node, slotTable, faultTable, history, progress,
// output. Only one node is locked at a time.
//
// A transaction's changes are kept aside until it commits, and reads see the
// latest committed data. Concurrent transactions do not wait for each other:
// the last to commit wins, except that two inserts of one key give 23505 to the
// second commit.
package dbgroup

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

// Ranks of this package's locks.
const (
	rankSessions lockrank.Rank = 210
	rankNode     lockrank.Rank = 220
	rankSlots    lockrank.Rank = 230
	rankFaults   lockrank.Rank = 240
	rankHistory  lockrank.Rank = 250
	rankProgress lockrank.Rank = 255
	rankOutput   lockrank.Rank = 260
)

// Default limits.
const (
	defaultSlots       = 3
	defaultConnections = 100
	defaultWorkers     = 4
)

// initialTerm is the term of the first server, which is the first primary.
const initialTerm = 1

// Options describe a database group.
type Options struct {
	Name     string
	Servers  []ServerOptions // the first is the primary of term 1
	User     string          // required of the proxy; empty accepts any
	Password string          // required of the proxy, in clear text; empty asks for none
	Workers  int             // zero means 4
}

// ServerOptions describe a backend server.
type ServerOptions struct {
	Name             string
	DataCentre       string
	Network          network.Network
	Address          string        // of the wire protocol; port 0 picks one
	ControlAddress   string        // of the control interface; port 0 picks one
	Slots            int           // statements that execute at once; zero means 3
	Connections      int           // connections at once; zero means 100
	ConnectCost      time.Duration // from the startup message to its answer
	StatementCost    time.Duration // for which a statement holds a slot
	ReplicationDelay time.Duration // from a commit on the primary to its record's arrival at this server
}

func (o *ServerOptions) setDefaults() {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
}
