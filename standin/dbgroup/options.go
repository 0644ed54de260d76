// Package dbgroup is a stand-in for a database group: backend servers with the
// PostgreSQL wire protocol, asynchronous replication, the control interface of
// protocol/groupapi, and faults that tests can inject.
//
// It has the same structure as the proxy: reader goroutines read messages and
// post events, a pool of workers makes all decisions over shared tables, and
// writer goroutines send responses. Each connection and each server has a queue
// whose events run one at a time. Workers never block; a statement that waits for
// a slot or executes is continued by a later event.
//
// Lock order: sessionTable, node, slotTable, faultTable, history,
// changeNotifier, output. Only one node is locked at a time.
//
// The changes of a transaction are buffered until it commits, and its reads see
// these changes and the latest committed data. Concurrent transactions do not
// wait for each other: the last to commit wins, except that the second commit of
// two inserts of the same key fails with SQLSTATE 23505.
package dbgroup

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

// Lock ranks of this package.
const (
	rankSessions lockrank.Rank = 210
	rankNode     lockrank.Rank = 220
	rankSlots    lockrank.Rank = 230
	rankFaults   lockrank.Rank = 240
	rankHistory  lockrank.Rank = 250
	rankNotifier lockrank.Rank = 255
	rankOutput   lockrank.Rank = 260
)

// Defaults of the options: slots and connections of a server, workers of a group.
const (
	defaultSlots       = 3
	defaultConnections = 100
	defaultWorkers     = 4
)

// initialTerm is the term in which the first server of a new group is primary.
const initialTerm = 1

// Options configure a database group.
type Options struct {
	Name     string          // used in errors and by Group.Name only
	Servers  []ServerOptions // the first is the primary of term 1
	User     string          // user name required of clients; empty accepts any
	Password string          // password required of clients, sent in clear text; empty requires none
	Workers  int             // goroutines that run events; zero means 4
}

// ServerOptions configure a backend server.
type ServerOptions struct {
	Name              string // unique within the group
	DataCentre        string // reported by Server.DataCentre only
	Network           network.Network
	Address           string        // of the wire protocol; port 0 picks a free port
	ControlAddress    string        // of the control interface; port 0 picks a free port
	Slots             int           // statements that execute at the same time; zero means 3
	Connections       int           // maximum number of connections; zero means 100
	ConnectDelay      time.Duration // from the startup message to its response
	StatementDuration time.Duration // execution time of a statement, during which it holds a slot
	ReplicationDelay  time.Duration // from a commit on the primary until the record arrives at this server
}

func (o *ServerOptions) setDefaults() {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
}
