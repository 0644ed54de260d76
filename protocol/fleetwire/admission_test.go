package fleetwire

import (
	"testing"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Guards against a later build whose additional fields make this one refuse statements,
// and against numbers that overflow a priority or a duration.
func TestAdmissionFields(t *testing.T) {
	bare := AppendStatement(nil, &statement.RemoteStatement{Command: statement.Command{Verb: statement.Read}})
	bare[0] |= flagAdmission
	got, err := DecodeStatement(appendString(bare, "\x01\x02\x03\x04later"))
	if err != nil || *got.Admission != (statement.Admission{Class: statement.Class{Route: 1, Customer: 2}, Kind: 3, Objective: 4e6}) {
		t.Errorf("decoded %+v, %v", got, err)
	}
	for _, fields := range []string{"", "\x01\x02\x03", "\xff\xff\xff\xff\x7f\x02\x03\x04", "\x01\x02\xff\xff\x7f\x04", "\x01\x02\x03\xff\xff\xff\xff\xff\xff\x7f"} {
		if _, err := DecodeStatement(appendString(bare, fields)); err == nil {
			t.Errorf("the fields %q are accepted", fields)
		}
	}
}
