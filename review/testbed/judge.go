package main

import (
	"slices"
	"strings"
	"sync"
)

// sent is a statement that a client sent.
type sent struct {
	client, tenant, text string
}

// attempts records what the clients sent.
type attempts struct {
	mu   sync.Mutex // guards byID
	byID map[string]sent
}

func (a *attempts) add(id string, s sent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[id] = s
}

func (a *attempts) find(id string) (sent, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, known := a.byID[id]
	return s, known
}

// checkTransactions checks PINNED and UNASKED: each transaction on a connection of an
// instance holds statements of one client only, of the tenant of the connection, with
// unchanged text.
func checkTransactions(rec *recorder, a *attempts) {
	type transaction struct {
		conn   string
		number int
	}
	owners := make(map[transaction]string)
	for _, l := range rec.allRun() {
		if l.id == "-" {
			continue
		}
		s, known := a.find(l.id)
		if !known {
			rec.broken("UNASKED: %s ran %s %q, which no client sent", l.conn, l.id, l.text)
			continue
		}
		if text := withoutPosition(l.text); text != s.text {
			rec.broken("UNASKED: %s ran %s as %q, the client sent %q", l.conn, l.id, text, s.text)
		}
		if l.tenant != s.tenant {
			rec.broken("UNASKED: %s, a connection of tenant %s, ran %s %q of tenant %s", l.conn, l.tenant, l.id, l.text, s.tenant)
		}
		if !l.inTx {
			continue
		}
		key := transaction{l.conn, l.transacted}
		if owners[key] == "" {
			owners[key] = s.client
		}
		if owners[key] != s.client {
			rec.broken("PINNED: %s %q of client %s ran inside the transaction of client %s (%s, transaction %d)", l.id, l.text, s.client, owners[key], l.conn, l.transacted)
		}
	}
}

// withoutPosition removes the prefix that VMs may add to a read.
func withoutPosition(text string) string {
	if after, found := strings.CutPrefix(text, wire.After); found {
		_, text, _ = strings.Cut(after, " ")
	}
	return text
}

// checkCommit checks that the writes of an acknowledged commit are in the log of the
// primary.
func checkCommit(rec *recorder, g *group, client string, writes []string) {
	if missing := missingWrites(g, writes); len(missing) > 0 {
		rec.broken("the commit of client %s was acknowledged, but its writes %v are in no log of a primary", client, missing)
	}
}

// promises are the codes that state that nothing from a client attempt is kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}

// checkPromise checks REFUSED: no write of a transaction for which the client got a
// promise is in the log of the primary.
func checkPromise(rec *recorder, g *group, client, code string, ids []string) {
	word, _, _ := strings.Cut(code, " ")
	if !slices.Contains(promises, word) {
		return
	}
	missing := missingWrites(g, ids)
	for _, id := range ids {
		if !slices.Contains(missing, id) {
			rec.broken("REFUSED: client %s got %s, but its write %s is committed", client, word, id)
		}
	}
}

func missingWrites(g *group, ids []string) (missing []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range ids {
		found := false
		for _, s := range g.servers {
			for _, c := range s.log {
				found = found || s.primary && slices.Contains(c.ids, id)
			}
		}
		if !found {
			missing = append(missing, id)
		}
	}
	return missing
}
