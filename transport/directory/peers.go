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

// Encode returns the documents that are newer than the asking VM's, of which
// the question has the revisions.
func (d *Directory) Encode(question []byte) []byte {
	var known map[Kind]uint64
	if err := json.Unmarshal(question, &known); err != nil {
		d.logger.WithError(err).Error("directory: another VM's question cannot be decoded.")
	}
	newer := make(map[Kind]document)
	d.mu.Lock()
	for kind, doc := range d.docs {
		if doc.Revision > known[kind] {
			newer[kind] = doc
		}
	}
	d.mu.Unlock()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	// Writing to memory does not fail, and documents are maps of plain values.
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
			d.CatchUp()
		}
	}
}

// CatchUp asks a VM that knows a newer document for it, one at a time.
func (d *Directory) CatchUp() {
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
			d.receive(vm, f.Body)
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

// receive takes another VM's documents.
func (d *Directory) receive(vm string, body []byte) {
	var docs map[Kind]document
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err == nil {
		err = json.NewDecoder(z).Decode(&docs)
	}
	if err != nil {
		d.logger.WithError(err).WithField("vm", vm).Error("directory: another VM's documents cannot be decoded.")
		return
	}
	for kind, doc := range docs {
		for _, e := range doc.Entries {
			if e.Config != nil {
				e.Config.Index()
			}
		}
		d.mu.Lock()
		if doc.Revision <= d.docs[kind].Revision {
			d.mu.Unlock()
			continue
		}
		d.logger.WithFields(log.Fields{"kind": string(kind), "vm": vm, "revision": doc.Revision}).Info("directory: learned from another VM.")
		d.replace(kind, doc)
	}
}
