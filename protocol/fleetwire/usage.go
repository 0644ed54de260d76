package fleetwire

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/usage"
)

// UsageRequest asks a VM for the usage counts of recent windows.
type UsageRequest struct {
	Token uint64 // fencing token of the sender; zero if it does not hold the duty
	Since int64  // first window that is asked for
	// Run and Seen are the incarnation of the receiver and the number of its latest change
	// of counts that the sender knows. Only later changes are asked for.
	Run  int64
	Seen uint64
	// Offset of true time to the receiver's monotonic clock, if HasOffset is set. It holds
	// for the incarnation Run.
	Offset    time.Duration
	HasOffset bool
	Departed  bool // asks also for the counts of VMs that the receiver can no longer reach
}

// UsageReply is the response to a UsageRequest, or is sent by a VM that leaves.
type UsageReply struct {
	Clock     time.Duration // monotonic clock of the sender
	TimeOfDay usage.Time    // time of day of the sender
	Token     uint64        // highest fencing token of a holder of the duty that the sender knows
	Synced    bool          // the sender knows the true time
	// Released states that the sender held the duty and no longer does, and that no call to
	// the platform of its own, or of a holder before it, is under way.
	Released bool
	// Sources are the counts, the sender's own ones first.
	Sources []usage.SourceCounts
}

// Flags of usage messages.
const (
	flagOffset = 1 << iota
	flagDeparted
)

// Flags in the first byte of a UsageReply. Receivers ignore those they do not know.
const (
	flagSynced = 1 << iota
	flagReleased
)

// Append appends the encoded request to dst.
func (r *UsageRequest) Append(dst []byte) []byte {
	var flags byte
	if r.HasOffset {
		flags |= flagOffset
	}
	if r.Departed {
		flags |= flagDeparted
	}
	dst = binary.AppendUvarint(append(dst, flags), r.Token)
	dst = binary.AppendVarint(binary.AppendVarint(dst, r.Since), r.Run)
	dst = binary.AppendUvarint(dst, r.Seen)
	return binary.AppendVarint(dst, int64(r.Offset))
}

// DecodeUsageRequest decodes the output of UsageRequest.Append.
func DecodeUsageRequest(b []byte) (UsageRequest, error) {
	d := decoder{b: b}
	flags := d.byte()
	r := UsageRequest{HasOffset: flags&flagOffset != 0, Departed: flags&flagDeparted != 0}
	r.Token, r.Since, r.Run, r.Seen = d.uvarint(), d.varint(), d.varint(), d.uvarint()
	r.Offset = time.Duration(d.varint())
	return r, d.finish("usage request")
}

// Append appends the encoded reply to dst.
func (r *UsageReply) Append(dst []byte) []byte {
	var flags byte
	if r.Synced {
		flags |= flagSynced
	}
	if r.Released {
		flags |= flagReleased
	}
	dst = binary.AppendVarint(append(dst, flags), int64(r.Clock))
	dst = binary.AppendVarint(dst, int64(r.TimeOfDay))
	dst = binary.AppendUvarint(dst, r.Token)
	dst = binary.AppendUvarint(dst, uint64(len(r.Sources)))
	for _, s := range r.Sources {
		dst = binary.AppendVarint(appendString(dst, s.VM), s.Run)
		dst = binary.AppendUvarint(binary.AppendVarint(dst, int64(s.Started)), s.Changes)
		dst = binary.AppendUvarint(dst, uint64(len(s.Windows)))
		for _, w := range s.Windows {
			dst = binary.AppendVarint(dst, w.Window)
			dst = binary.AppendUvarint(dst, uint64(len(w.Counts)))
			for _, customer := range slices.Sorted(maps.Keys(w.Counts)) {
				dst = binary.AppendUvarint(appendString(dst, customer), uint64(max(w.Counts[customer], 0)))
			}
		}
	}
	return dst
}

// maxUsageCount keeps malformed counts from overflowing a sum.
const maxUsageCount = 1 << 40

// DecodeUsageReply decodes the output of UsageReply.Append.
func DecodeUsageReply(b []byte) (UsageReply, error) {
	d := decoder{b: b}
	flags := d.byte()
	r := UsageReply{Synced: flags&flagSynced != 0, Released: flags&flagReleased != 0, Clock: time.Duration(d.varint()), TimeOfDay: usage.Time(d.varint()), Token: d.uvarint()}
	for n := d.length(); n > 0; n-- {
		s := usage.SourceCounts{Source: usage.Source{VM: d.string(), Run: d.varint()}, Started: usage.Time(d.varint()), Changes: d.uvarint()}
		for m := d.length(); m > 0; m-- {
			w := usage.WindowCounts{Window: d.varint(), Counts: make(usage.Counts)}
			for k := d.length(); k > 0; k-- {
				customer, count := d.string(), d.uvarint()
				d.failed = d.failed || count > maxUsageCount
				w.Counts[customer] = int64(count)
			}
			s.Windows = append(s.Windows, w)
		}
		r.Sources = append(r.Sources, s)
	}
	return r, d.finish("usage reply")
}

func (d *decoder) varint() int64 {
	n, k := binary.Varint(d.b)
	if k <= 0 {
		d.failed, d.b = true, nil
		return 0
	}
	d.b = d.b[k:]
	return n
}
