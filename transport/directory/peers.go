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
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// maxEncodedUpdates limits the encoded updates that are kept until the next change. After
// a change, the VMs of a data centre request the same update from their relay.
const maxEncodedUpdates = 8

// EncodeUpdates returns the encoded changes to the documents after the encoded
// revisions that the requesting VM knows.
func (d *Directory) EncodeUpdates(request []byte) []byte {
	known, err := decodeKnown(request)
	if err != nil {
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
		if u, lacking := doc.changesFor(known.revisions[kind], known.hasEras); lacking {
			newer[kind] = u
		}
	}
	d.addNewestConfig(newer, known)
	cacheable := !d.addMissing(newer)
	d.addOverrides(newer)
	d.mu.Unlock()
	encoded := encodeUpdates(newer)
	d.mu.Lock()
	defer d.mu.Unlock()
	if cacheable && d.docsVersion == version && len(d.encodedUpdates) < maxEncodedUpdates {
		d.encodedUpdates[string(request)] = encoded
	}
	return encoded
}

// encodeUpdates encodes updates for another VM.
func encodeUpdates(updates map[Kind]update) []byte {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	// Writing to memory does not fail, and updates consist of plain values.
	if err := errors.Join(json.NewEncoder(z).Encode(updates), z.Close()); err != nil {
		panic("directory: documents cannot be encoded: " + err.Error())
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

// HandleStatus handles the status that another VM reported. It requests updates if the
// other VM has newer documents.
func (d *Directory) HandleStatus(s *fleetwire.Status) {
	era := uint64(0)
	for _, e := range s.Eras {
		era = max(era, e)
	}
	d.learnEra(era)
	d.mu.Lock()
	newer := d.hasNewer(s)
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
	known := make(map[Kind]state.Revision, len(d.docs))
	for kind, doc := range d.docs {
		known[kind] = doc.Revision
	}
	request := encodeKnown(known, d.configVersion())
	d.mu.Unlock()
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
		if !d.hasNewer(&peers[i]) {
			continue
		}
		if view.InSameDataCentre(peers[i].Name) {
			near = peers[i].Name
		} else {
			far = peers[i].Name
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
func (d *Directory) applyUpdates(vm string, body []byte, known map[Kind]state.Revision) {
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
		if u.Newest != nil {
			u.Newest.Index()
		}
		d.mu.Lock()
		adopted, change := d.adoptConfig(u.Newest), func(*fleetwire.Status) {}
		if adopted {
			change = d.statusChange()
		}
		old := d.docs[kind]
		revision := u.revision(old.Revision.Era)
		// Changes relative to a revision of one era say nothing about a document of another.
		fits := u.Full || revision.Era == old.Revision.Era && revision.Era == known[kind].Era && !known[kind].After(old.Revision)
		if !revision.After(old.Revision) || !fits {
			d.mu.Unlock()
			if adopted {
				d.reportRevisions(kind, change)
			}
			continue
		}
		d.noteEra(revision.Era)
		if old.Revision.IsZero() {
			d.adoptMissing(u.Missing)
			d.servers.Adopt(u.Overrides, clock.Now())
		}
		d.logger.WithFields(log.Fields{"kind": string(kind), "vm": vm, "revision": u.Revision, "era": revision.Era}).Info("directory: updated from another VM.")
		d.replaceDocument(kind, old.withUpdate(u))
	}
}
