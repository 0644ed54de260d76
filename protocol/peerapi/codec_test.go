package peerapi

import (
	"encoding/json"
	"testing"
	"time"
)

// Guards against an age that looks younger after it was sent, and against ages
// that would move a contact into the future or overflow.
func TestAge(t *testing.T) {
	for _, d := range []time.Duration{0, 1, time.Millisecond, 1500 * time.Microsecond, time.Hour + 1} {
		data, err := json.Marshal(Age(d))
		if err != nil {
			t.Fatal(err)
		}
		var got Age
		if err := json.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if diff := time.Duration(got) - d; diff < 0 || diff >= time.Millisecond {
			t.Errorf("%v arrives as %v", d, time.Duration(got))
		}
	}
	if AgeOf(0) == 0 {
		t.Error("an age just confirmed looks like none")
	}
	for _, data := range []string{"-1", "9223372036854775807", "1.5", `"1"`, "null"} {
		if json.Unmarshal([]byte(data), new(Age)) == nil {
			t.Errorf("%s was accepted", data)
		}
	}
}
