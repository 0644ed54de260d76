// Package fleetwire encodes the messages between VMs that run as a Node: statements,
// rate limit tokens and heartbeats. The encoding is binary because traffic between
// data centres is charged by volume. A statement is a few dozen bytes, which HTTP
// headers would multiply.
package fleetwire

import (
	"bufio"
	"encoding/binary"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// MaxFrame is the maximum length of a frame, in bytes. Configurations are the
// longest messages; the store holds values of up to 1 MiB.
const MaxFrame = 8 << 20

// Kind is the type of message that a frame carries.
type Kind byte

// Kinds of frames. A response has the ID of its request. KindAbort is sent when a
// session no longer uses a transaction, for example because its client has
// disconnected or the transaction was idle for too long.
const (
	KindStatus            Kind = iota + 1 // a Status in JSON: the state of the sender
	KindPing                              // heartbeat with the partitions of customers' limits for which the sender is the quota coordinator
	KindPong                              // a Pong, the response to KindPing
	KindStatement                         // a statement.RemoteStatement to run
	KindResult                            // a statement.Result, the response to KindStatement
	KindAbort                             // rolls back the transaction with the given number; no response
	KindTokenRequest                      // asks the quota coordinator of one partition of a customer's limit for tokens
	KindTokenGrant                        // number of tokens granted, the response to KindTokenRequest
	KindSnapshot                          // the latest revision that the sender knows of each kind of the store's objects, in JSON; asks for newer ones
	KindSnapshotReply                     // the newer objects in JSON, the response to KindSnapshot
	KindFence                             // a Fence: designations to accept; only sent to VMs whose Status has Fencing
	KindFenced                            // the sender's fencing.State, the response to KindFence
	KindRenewal                           // digest of the sender's fencing.State; asks the receiver to renew its lease; only sent to VMs whose Status has Fencing
	KindRenewed                           // a Renewed, the response to KindRenewal
	KindUsageRequest                      // asks for the usage counts of recent windows; only sent to VMs whose Status has Usage
	KindUsageReply                        // the sender's usage counts, the response to KindUsageRequest; also sent by edges and VMs that leave, and then answered by a KindUsageRequest
	KindConnectionRequest                 // asks the receiver to lend connections to a backend server; only sent to VMs whose Status has ConnectionLoans
	KindConnectionGrant                   // the connections lent, the response to KindConnectionRequest
)

// Frame is one message. ID matches a response to its request; it is zero in messages
// without a response.
type Frame struct {
	Kind Kind
	ID   uint64
	Body []byte
}

// Append appends the encoded frame to dst.
func (f Frame) Append(dst []byte) []byte {
	start := len(dst)
	dst = append(dst, 0, 0, 0, 0, byte(f.Kind))
	dst = binary.AppendUvarint(dst, f.ID)
	dst = append(dst, f.Body...)
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start-4))
	return dst
}

// ReadFrame reads one frame. It returns io.EOF if the stream ends before the frame
// or right after its length, io.ErrUnexpectedEOF if the stream ends elsewhere in the
// frame, and a descriptive error if the length or the ID is invalid.
func ReadFrame(r *bufio.Reader) (Frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 2 || n > MaxFrame {
		return Frame{}, eris.Errorf("invalid frame length of %d bytes", n)
	}
	buf := make([]byte, n)
	if _, err := io.ReadFull(r, buf); err != nil {
		return Frame{}, err
	}
	id, k := binary.Uvarint(buf[1:])
	if k <= 0 {
		return Frame{}, eris.New("frame with an invalid ID")
	}
	return Frame{Kind: Kind(buf[0]), ID: id, Body: buf[1+k:]}, nil
}

// Flags in the first byte of KindStatement.
const (
	flagRequirePrimary = 1 << iota
	flagBeginsTx
	flagReadOnlyTx
	flagWrites
	flagPrepared
	flagPreparedWrites
	flagTraced
	flagAdmission
)

// Flags in the third byte of KindResult.
const (
	flagPrimaryConfirmed = 1 << iota
	flagRetryAfter       // only in responses to statements with flagAdmission
)

// AppendStatement appends the encoded statement to dst. Durations are cut to whole
// milliseconds.
func AppendStatement(dst []byte, stmt *statement.RemoteStatement) []byte {
	var flags byte
	setFlag := func(on bool, flag byte) {
		if on {
			flags |= flag
		}
	}
	setFlag(stmt.RequirePrimary, flagRequirePrimary)
	setFlag(stmt.BeginsTx, flagBeginsTx)
	setFlag(stmt.ReadOnlyTx, flagReadOnlyTx)
	setFlag(stmt.Command.Writes, flagWrites)
	setFlag(stmt.Prepared != nil, flagPrepared)
	setFlag(stmt.Prepared != nil && stmt.Prepared.Writes, flagPreparedWrites)
	setFlag(stmt.Trace != statement.Trace{}, flagTraced)
	setFlag(stmt.Admission != nil, flagAdmission)
	dst = append(dst, flags, byte(stmt.Command.Verb))
	for _, s := range []string{stmt.Customer, stmt.Group, stmt.Server, stmt.Command.ID, stmt.Command.Name, stmt.Command.Payload} {
		dst = appendString(dst, s)
	}
	for _, n := range []uint64{stmt.Command.After.Term, stmt.Command.After.Position, stmt.Command.Term, stmt.Tx,
		uint64(stmt.Timeout.Milliseconds()), uint64(stmt.Wait.Milliseconds()), uint64(len(stmt.Values))} {
		dst = binary.AppendUvarint(dst, n)
	}
	for _, v := range stmt.Values {
		dst = appendString(appendString(dst, v.Name), v.Data)
	}
	if stmt.Prepared != nil {
		dst = appendString(appendString(dst, stmt.Prepared.Name), stmt.Prepared.Shape)
	}
	if flags&flagTraced != 0 {
		dst = append(append(dst, stmt.Trace.TraceID[:]...), stmt.Trace.SpanID[:]...)
	}
	if stmt.Admission != nil {
		dst = appendAdmission(dst, stmt.Admission)
	}
	return dst
}

// DecodeStatement decodes the output of AppendStatement. It fails on unknown
// verbs, which a newer VM may send, and on statement.Unknown, which no server runs.
func DecodeStatement(b []byte) (*statement.RemoteStatement, error) {
	d := decoder{b: b}
	flags, verb := d.byte(), d.byte()
	stmt := &statement.RemoteStatement{RequirePrimary: flags&flagRequirePrimary != 0, BeginsTx: flags&flagBeginsTx != 0, ReadOnlyTx: flags&flagReadOnlyTx != 0}
	stmt.Command.Verb, stmt.Command.Writes = statement.Verb(verb), flags&flagWrites != 0
	if !stmt.Command.Verb.Valid() || stmt.Command.Verb == statement.Unknown {
		return nil, eris.Errorf("statement with the unknown verb %d", verb)
	}
	for _, s := range []*string{&stmt.Customer, &stmt.Group, &stmt.Server, &stmt.Command.ID, &stmt.Command.Name, &stmt.Command.Payload} {
		*s = d.string()
	}
	stmt.Command.After = state.Point{Term: d.uvarint(), Position: d.uvarint()}
	stmt.Command.Term, stmt.Tx = d.uvarint(), d.uvarint()
	stmt.Timeout = time.Duration(d.uvarint()) * time.Millisecond
	stmt.Wait = time.Duration(d.uvarint()) * time.Millisecond
	for n := d.length(); n > 0; n-- {
		stmt.Values = append(stmt.Values, statement.Value{Name: d.string(), Data: d.string()})
	}
	if flags&flagPrepared != 0 {
		stmt.Prepared = &statement.Prepared{Name: d.string(), Writes: flags&flagPreparedWrites != 0, Shape: d.string()}
	}
	if flags&flagTraced != 0 {
		d.copy(stmt.Trace.TraceID[:])
		d.copy(stmt.Trace.SpanID[:])
	}
	if flags&flagAdmission != 0 {
		stmt.Admission = d.admission()
	}
	return stmt, d.finish("work")
}

// AppendResult appends the encoded result to dst.
func AppendResult(dst []byte, res *statement.Result) []byte {
	a := &res.Answer
	flags := byte(0)
	if res.PrimaryConfirmed {
		flags |= flagPrimaryConfirmed
	}
	if res.RetryAfter > 0 {
		flags |= flagRetryAfter
	}
	dst = append(dst, byte(a.Code), byte(a.State), flags)
	dst = appendString(appendString(dst, a.Text), a.Signature)
	for _, n := range []uint64{a.At.Term, a.At.Position, res.Tx} {
		dst = binary.AppendUvarint(dst, n)
	}
	dst = appendStrings(dst, a.Rows)
	if res.RetryAfter > 0 {
		dst = binary.AppendUvarint(dst, uint64(res.RetryAfter.Milliseconds()))
	}
	return dst
}

// DecodeResult decodes the output of AppendResult. It fails on unknown codes and
// states, which a newer VM may send.
func DecodeResult(b []byte) (statement.Result, error) {
	d := decoder{b: b}
	var res statement.Result
	a := &res.Answer
	a.Code, a.State = statement.Code(d.byte()), statement.TxState(d.byte())
	if !a.Code.Valid() || !a.State.Valid() {
		return statement.Result{}, eris.Errorf("result with the unknown code %d or state %d", a.Code, a.State)
	}
	flags := d.byte()
	res.PrimaryConfirmed = flags&flagPrimaryConfirmed != 0
	a.Text, a.Signature = d.string(), d.string()
	a.At = state.Point{Term: d.uvarint(), Position: d.uvarint()}
	res.Tx = d.uvarint()
	a.Rows = d.strings()
	if flags&flagRetryAfter != 0 {
		res.RetryAfter = d.milliseconds()
	}
	return res, d.finish("result")
}

// LeadershipConfirmation confirms that a server was the primary of its group.
type LeadershipConfirmation struct {
	Group  string
	Server string
	Point  state.Point   // end of the server's log at that time
	Age    time.Duration // when encoded; rounded up to whole milliseconds, so that the confirmation never appears fresher than it is
}

// StoreConfirmation says that the sender's document of a kind of the store's objects had all
// changes that were made up to a time.
type StoreConfirmation struct {
	Revision uint64        // of the document; zero if nothing is confirmed
	Era      uint64        // of the revision; only set if StoreConfirmations.Eras is
	Age      time.Duration // of that time when encoded; rounded up to whole milliseconds
}

// StoreConfirmations are those of the documents that say which servers get no new work.
type StoreConfirmations struct {
	Servers, OutOfService StoreConfirmation
	// Eras says that the revisions have their eras. They are only sent to VMs whose Status
	// has Eras.
	Eras bool
}

// Pong is the response to a ping.
type Pong struct {
	Lent          []catalog.LimitPartition // partitions of limits of which the sender lends its share to the receiver
	Lease         time.Duration            // duration of the loans; whole milliseconds
	Confirmations []LeadershipConfirmation // latest confirmations known to the sender
	// Store is only sent to VMs whose Status has StoreConfirmations; nil if it was not sent.
	Store *StoreConfirmations
	// Unspent has, for each of Lent, how long nobody could spend the share before it was
	// lent; whole milliseconds. It is only sent to VMs whose Status has UnspentShares, with
	// Store and its eras.
	Unspent []time.Duration
}

// Append appends the encoded pong to dst.
func (p *Pong) Append(dst []byte) []byte {
	dst = AppendPartitions(dst, p.Lent)
	dst = binary.AppendUvarint(dst, uint64(p.Lease.Milliseconds()))
	dst = binary.AppendUvarint(dst, uint64(len(p.Confirmations)))
	for _, c := range p.Confirmations {
		dst = appendString(appendString(dst, c.Group), c.Server)
		age := (c.Age + time.Millisecond - 1).Milliseconds()
		for _, n := range []uint64{c.Point.Term, c.Point.Position, uint64(max(age, 0))} {
			dst = binary.AppendUvarint(dst, n)
		}
	}
	if p.Store != nil {
		for _, c := range []StoreConfirmation{p.Store.Servers, p.Store.OutOfService} {
			age := (c.Age + time.Millisecond - 1).Milliseconds()
			dst = binary.AppendUvarint(binary.AppendUvarint(dst, c.Revision), uint64(max(age, 0)))
		}
		if p.Store.Eras {
			dst = binary.AppendUvarint(binary.AppendUvarint(dst, p.Store.Servers.Era), p.Store.OutOfService.Era)
			for _, unspent := range p.Unspent {
				dst = binary.AppendUvarint(dst, uint64(max(unspent.Milliseconds(), 0)))
			}
		}
	}
	return dst
}

// DecodePong decodes the output of Pong.Append.
func DecodePong(b []byte) (Pong, error) {
	d := decoder{b: b}
	var p Pong
	p.Lent = d.partitions()
	p.Lease = time.Duration(d.uvarint()) * time.Millisecond
	for n := d.length(); n > 0; n-- {
		c := LeadershipConfirmation{Group: d.string(), Server: d.string()}
		c.Point = state.Point{Term: d.uvarint(), Position: d.uvarint()}
		c.Age = time.Duration(d.uvarint()) * time.Millisecond
		p.Confirmations = append(p.Confirmations, c)
	}
	if len(d.b) > 0 {
		p.Store = &StoreConfirmations{Servers: d.storeConfirmation(), OutOfService: d.storeConfirmation()}
		if len(d.b) > 0 {
			p.Store.Eras, p.Store.Servers.Era, p.Store.OutOfService.Era = true, d.uvarint(), d.uvarint()
		}
		if len(d.b) > 0 {
			p.Unspent = d.unspent(len(p.Lent))
		}
	}
	return p, d.finish("pong")
}

// maxStoreConfirmationAge keeps malformed ages from overflowing a duration.
const maxStoreConfirmationAge = 365 * 24 * time.Hour

// unspent reads Pong.Unspent for n shares.
func (d *decoder) unspent(n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		ms := d.uvarint()
		d.failed = d.failed || ms > uint64(maxStoreConfirmationAge.Milliseconds())
		list[i] = time.Duration(ms) * time.Millisecond
	}
	return list
}

func (d *decoder) storeConfirmation() StoreConfirmation {
	c := StoreConfirmation{Revision: d.uvarint()}
	ms := d.uvarint()
	d.failed = d.failed || ms > uint64(maxStoreConfirmationAge.Milliseconds())
	c.Age = time.Duration(ms) * time.Millisecond
	return c
}

func appendStrings(dst []byte, list []string) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(list)))
	for _, s := range list {
		dst = appendString(dst, s)
	}
	return dst
}

// AppendPartitions appends an encoded list of partitions of customers' limits to
// dst. It is the body of pings.
func AppendPartitions(dst []byte, partitions []catalog.LimitPartition) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(partitions)))
	for _, p := range partitions {
		dst = appendPartition(dst, p)
	}
	return dst
}

// DecodePartitions decodes the output of AppendPartitions.
func DecodePartitions(b []byte) ([]catalog.LimitPartition, error) {
	d := decoder{b: b}
	list := d.partitions()
	return list, d.finish("list of limit partitions")
}

func appendPartition(dst []byte, p catalog.LimitPartition) []byte {
	return append(appendString(dst, p.Customer), p.Index)
}

// AppendNumber appends an encoded number, the body of KindTokenGrant and
// KindAbort, to dst.
func AppendNumber(dst []byte, n uint64) []byte { return binary.AppendUvarint(dst, n) }

// DecodeNumber decodes the output of AppendNumber.
func DecodeNumber(b []byte) (uint64, error) {
	d := decoder{b: b}
	n := d.uvarint()
	return n, d.finish("number")
}

func appendString(dst []byte, s string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(s))), s...)
}

// decoder decodes the fields of a message. After a failure it returns zero values;
// finish reports the failure.
type decoder struct {
	b      []byte
	failed bool
}

func (d *decoder) byte() byte {
	if len(d.b) == 0 {
		d.failed = true
		return 0
	}
	c := d.b[0]
	d.b = d.b[1:]
	return c
}

func (d *decoder) uvarint() uint64 {
	n, k := binary.Uvarint(d.b)
	if k <= 0 {
		d.failed, d.b = true, nil
		return 0
	}
	d.b = d.b[k:]
	return n
}

// length reads the length of a list or string. It fails if fewer bytes are left: each
// entry takes at least one. So a malformed length cannot cause a large allocation.
func (d *decoder) length() uint64 {
	n := d.uvarint()
	if n > uint64(len(d.b)) {
		d.failed, d.b = true, nil
		return 0
	}
	return n
}

func (d *decoder) string() string {
	n := d.length()
	s := string(d.b[:n])
	d.b = d.b[n:]
	return s
}

func (d *decoder) partition() catalog.LimitPartition {
	p := catalog.LimitPartition{Customer: d.string(), Index: d.byte()}
	d.failed = d.failed || p.Index >= catalog.LimitPartitions
	return p
}

// partitions reads the output of AppendPartitions.
func (d *decoder) partitions() []catalog.LimitPartition {
	var list []catalog.LimitPartition
	for n := d.length(); n > 0; n-- {
		list = append(list, d.partition())
	}
	return list
}

// strings reads the output of appendStrings.
func (d *decoder) strings() []string {
	var list []string
	for n := d.length(); n > 0; n-- {
		list = append(list, d.string())
	}
	return list
}

// copy fills dst with the next bytes.
func (d *decoder) copy(dst []byte) {
	if len(d.b) < len(dst) {
		d.failed, d.b = true, nil
		return
	}
	copy(dst, d.b)
	d.b = d.b[len(dst):]
}

// finish returns an error if decoding failed or bytes are left.
func (d *decoder) finish(message string) error {
	if d.failed || len(d.b) > 0 {
		return eris.Errorf("the encoding of the %s is invalid", message)
	}
	return nil
}
