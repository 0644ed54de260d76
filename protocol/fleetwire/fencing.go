package fleetwire

import (
	"encoding/binary"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
)

// Fence asks a VM to accept designations of primaries.
type Fence struct {
	State fencing.State
	// Drain is how long statements that the VM has already sent to former primaries
	// may still be answered; whole milliseconds.
	Drain time.Duration
}

// Append appends the encoded message to dst.
func (f *Fence) Append(dst []byte) []byte {
	return AppendFencingState(binary.AppendUvarint(dst, uint64(f.Drain.Milliseconds())), &f.State)
}

// DecodeFence decodes the output of Fence.Append.
func DecodeFence(b []byte) (Fence, error) {
	d := decoder{b: b}
	f := Fence{Drain: time.Duration(d.uvarint()) * time.Millisecond}
	f.State = d.fencingState()
	return f, d.finish("fence")
}

// Renewed is the response to a request to renew a lease.
type Renewed struct {
	// Settled says that the sender has merged the states of a majority since its
	// start, so that its answer renews the lease.
	Settled bool
	// State is the sender's state. It is empty if its digest is that of the request.
	State fencing.State
}

// Append appends the encoded message to dst.
func (r *Renewed) Append(dst []byte) []byte {
	settled := byte(0)
	if r.Settled {
		settled = 1
	}
	return AppendFencingState(append(dst, settled), &r.State)
}

// DecodeRenewed decodes the output of Renewed.Append.
func DecodeRenewed(b []byte) (Renewed, error) {
	d := decoder{b: b}
	r := Renewed{Settled: d.byte() == 1}
	r.State = d.fencingState()
	return r, d.finish("renewal")
}

// AppendFencingState appends an encoded state, the body of KindFenced, to dst.
func AppendFencingState(dst []byte, s *fencing.State) []byte {
	dst = binary.AppendUvarint(dst, s.Claim)
	dst = binary.AppendUvarint(dst, uint64(len(s.Designations)))
	for _, e := range s.Designations {
		dst = appendString(appendString(dst, e.Group), e.Server)
		dst = binary.AppendUvarint(dst, e.Token)
	}
	return dst
}

// DecodeFencingState decodes the output of AppendFencingState.
func DecodeFencingState(b []byte) (fencing.State, error) {
	d := decoder{b: b}
	s := d.fencingState()
	return s, d.finish("fencing state")
}

func (d *decoder) fencingState() fencing.State {
	s := fencing.State{Claim: d.uvarint()}
	for n := d.length(); n > 0; n-- {
		s.Designations = append(s.Designations, fencing.Designation{Group: d.string(), Server: d.string(), Token: d.uvarint()})
	}
	return s
}
