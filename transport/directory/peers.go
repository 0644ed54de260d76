package directory

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// Encode returns what has changed in the documents after the revisions that the
// asking VM knows, as it says in the question.
func (d *Directory) Encode(question []byte) []byte {
	var known map[Kind]uint64
	if err := json.Unmarshal(question, &known); err != nil {
		d.logger.WithError(err).Error("directory: another VM's question cannot be decoded.")
	}
	newer := make(map[Kind]update)
	d.mu.Lock()
	for kind, doc := range d.docs {
		if doc.Revision > known[kind] {
			newer[kind] = doc.since(known[kind])
		}
	}
	d.mu.Unlock()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	// Writing to memory does not fail, and updates are plain values.
	if err := errors.Join(json.NewEncoder(z).Encode(newer), z.Close()); err != nil {
		panic("directory: documents cannot be encoded: " + err.Error())
	}
	return b.Bytes()
}

// checkPeers asks other VMs for documents that are newer than this VM's.
func (d *Directory) checkPeers(ctx context.Context) {
	ticker := time.NewTicker(peerCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.catchUp()
		}
	}
}

// Heard catches up if another VM knows a newer document, as it says.
func (d *Directory) Heard(revisions map[string]uint64) {
	newer := false
	d.mu.Lock()
	for kind, revision := range revisions {
		newer = newer || revision > d.docs[Kind(kind)].Revision
	}
	d.mu.Unlock()
	if newer {
		d.catchUp()
	}
}

// catchUp asks a VM that knows a newer document for it, one at a time.
func (d *Directory) catchUp() {
	peers := d.fleet.Peers()
	view := d.fleet.View()
	d.mu.Lock()
	vm := d.ahead(peers, view)
	now := clock.Now()
	if vm == "" || now < d.askedUntil {
		d.mu.Unlock()
		return
	}
	d.askedUntil = now + askTimeout
	known := make(map[Kind]uint64, len(d.docs))
	for kind, doc := range d.docs {
		known[kind] = doc.Revision
	}
	d.mu.Unlock()
	question, err := json.Marshal(known)
	if err != nil {
		panic("directory: revisions cannot be encoded: " + err.Error())
	}
	d.fleet.Call(vm, fleetwire.KindSnapshot, question, func(f fleetwire.Frame, ok bool) {
		if ok {
			d.receive(vm, f.Body, known)
		}
		d.mu.Lock()
		d.askedUntil = 0
		d.mu.Unlock()
	})
}

// ahead returns a VM that knows a newer document, or "". VMs of other data
// centres are asked by the relay, and by others if the relay does not help in
// time. The caller holds mu.
func (d *Directory) ahead(peers []fleetwire.Status, view *placement.View) string {
	near, far := "", ""
	for i := range peers {
		for kind, revision := range peers[i].Revisions {
			if revision <= d.docs[Kind(kind)].Revision {
				continue
			}
			if view.Near(peers[i].Name) {
				near = peers[i].Name
			} else {
				far = peers[i].Name
			}
		}
	}
	now := clock.Now()
	switch {
	case near != "":
		return near
	case far == "":
		d.behindSince = 0
		return ""
	case d.behindSince == 0:
		d.behindSince = now
	}
	if view.Relays() || now-d.behindSince >= relayTimeout {
		return far
	}
	return ""
}

// receive takes what another VM answered to the question with the known
// revisions.
func (d *Directory) receive(vm string, body []byte, known map[Kind]uint64) {
	var updates map[Kind]update
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err == nil {
		err = json.NewDecoder(z).Decode(&updates)
	}
	if err != nil {
		d.logger.WithError(err).WithField("vm", vm).Error("directory: another VM's documents cannot be decoded.")
		return
	}
	for kind, u := range updates {
		for _, e := range u.Entries {
			if e.Config != nil {
				e.Config.Index()
			}
		}
		d.mu.Lock()
		old := d.docs[kind]
		if u.Revision <= old.Revision || !u.Whole && old.Revision < known[kind] {
			d.mu.Unlock()
			continue
		}
		d.logger.WithFields(log.Fields{"kind": string(kind), "vm": vm, "revision": u.Revision}).Info("directory: learned from another VM.")
		d.replace(kind, old.updated(u))
	}
}
