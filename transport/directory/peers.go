package directory

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// maxEncodedUpdates limits the encoded updates that are kept until the next change. After
// a change, the VMs of a data centre request the same update from their relay.
const maxEncodedUpdates = 8

// EncodeUpdates returns the encoded changes to the documents after the encoded
// revisions that the requesting VM knows.
func (d *Directory) EncodeUpdates(request []byte) []byte {
	var known map[Kind]uint64
	if err := json.Unmarshal(request, &known); err != nil {
		d.logger.WithError(err).Error("directory: another VM's request cannot be decoded.")
	}
	newer := make(map[Kind]update)
	d.mu.Lock()
	if encoded, cached := d.encodedUpdates[string(request)]; cached {
		d.mu.Unlock()
		return encoded
	}
	version := d.docsVersion
	for kind, doc := range d.docs {
		if doc.Revision > known[kind] {
			newer[kind] = doc.changesSince(known[kind])
		}
	}
	d.mu.Unlock()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	// Writing to memory does not fail, and updates consist of plain values.
	if err := errors.Join(json.NewEncoder(z).Encode(newer), z.Close()); err != nil {
		panic("directory: documents cannot be encoded: " + err.Error())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.docsVersion == version && len(d.encodedUpdates) < maxEncodedUpdates {
		d.encodedUpdates[string(request)] = b.Bytes()
	}
	return b.Bytes()
}

// checkPeers requests newer documents from other VMs at intervals.
func (d *Directory) checkPeers(ctx context.Context) {
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.requestUpdates()
		}
	}
}

// HandleRevisions handles the revisions that another VM reported. It requests
// updates if one of them is newer than this VM's.
func (d *Directory) HandleRevisions(revisions map[string]uint64) {
	newer := false
	d.mu.Lock()
	for kind, revision := range revisions {
		newer = newer || revision > d.docs[Kind(kind)].Revision
	}
	d.mu.Unlock()
	if newer {
		d.requestUpdates()
	}
}

// requestUpdates requests newer documents from a VM that has some. Only one
// request is open at a time.
func (d *Directory) requestUpdates() {
	peers := d.fleet.Peers()
	view := d.fleet.View()
	d.mu.Lock()
	vm := d.newerPeer(peers, view)
	now := clock.Now()
	if vm == "" || now < d.requestDeadline {
		d.mu.Unlock()
		return
	}
	d.requestDeadline = now + peerRequestTimeout
	known := make(map[Kind]uint64, len(d.docs))
	for kind, doc := range d.docs {
		known[kind] = doc.Revision
	}
	d.mu.Unlock()
	request, err := json.Marshal(known)
	if err != nil {
		panic("directory: revisions cannot be encoded: " + err.Error())
	}
	d.fleet.Call(vm, fleetwire.KindSnapshot, request, func(f fleetwire.Frame, ok bool) {
		if ok {
			d.applyUpdates(vm, f.Body, known)
		}
		d.mu.Lock()
		d.requestDeadline = 0
		d.mu.Unlock()
	})
}

// newerPeer returns a VM that has a newer document, or "". VMs of other data
// centres are asked by the relay only, or by every VM if the relay has not
// delivered the update within relayTimeout. The caller holds mu.
func (d *Directory) newerPeer(peers []fleetwire.Status, view *placement.View) string {
	near, far := "", ""
	for i := range peers {
		for kind, revision := range peers[i].Revisions {
			if revision <= d.docs[Kind(kind)].Revision {
				continue
			}
			if view.InSameDataCentre(peers[i].Name) {
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

// maxUpdatesSize limits the decompressed size of another VM's documents, in bytes.
const maxUpdatesSize = 64 << 20

// decodeUpdates decodes the output of EncodeUpdates.
func decodeUpdates(body []byte) (map[Kind]update, error) {
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "documents of another VM")
	}
	var updates map[Kind]update
	err = json.NewDecoder(io.LimitReader(z, maxUpdatesSize)).Decode(&updates)
	return updates, eris.Wrap(err, "documents of another VM")
}

// applyUpdates applies another VM's response to a request that listed the known
// revisions.
func (d *Directory) applyUpdates(vm string, body []byte, known map[Kind]uint64) {
	updates, err := decodeUpdates(body)
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
		if u.Revision <= old.Revision || !u.Full && old.Revision < known[kind] {
			d.mu.Unlock()
			continue
		}
		d.logger.WithFields(log.Fields{"kind": string(kind), "vm": vm, "revision": u.Revision}).Info("directory: updated from another VM.")
		d.replaceDocument(kind, old.withUpdate(u))
	}
}
