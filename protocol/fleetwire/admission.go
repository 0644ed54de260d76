package fleetwire

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// maxMilliseconds keeps malformed durations from overflowing.
const maxMilliseconds = uint64(365 * 24 * time.Hour / time.Millisecond)

// appendAdmission appends the encoded admission, preceded by its length, so that later
// builds can add fields. It is sent only to VMs whose Status has Classes.
func appendAdmission(dst []byte, a *statement.Admission) []byte {
	var b []byte
	for _, n := range []uint64{uint64(max(a.Class.Route, 0)), uint64(max(a.Class.Customer, 0)), uint64(a.Kind), uint64(max(a.Objective, 0).Milliseconds())} {
		b = binary.AppendUvarint(b, n)
	}
	return appendString(dst, string(b))
}

// admission reads the output of appendAdmission. It ignores fields that it does not know.
func (d *decoder) admission() *statement.Admission {
	fields := decoder{b: []byte(d.string())}
	a := &statement.Admission{Class: statement.Class{Route: fields.priority(), Customer: fields.priority()}}
	kind := fields.uvarint()
	a.Kind = uint16(kind)
	a.Objective = fields.milliseconds()
	d.failed = d.failed || fields.failed || kind > math.MaxUint16
	return a
}

func (d *decoder) priority() int {
	n := d.uvarint()
	d.failed = d.failed || n > math.MaxInt32
	return int(min(n, math.MaxInt32))
}

func (d *decoder) milliseconds() time.Duration {
	ms := d.uvarint()
	d.failed = d.failed || ms > maxMilliseconds
	return time.Duration(min(ms, maxMilliseconds)) * time.Millisecond
}
