package peerapi

import (
	"encoding/json"
	"testing"
	"time"
)

// Guards against encoding that reduces an age, and against accepting ages that are
// negative, which would be a time of receipt in the future, or that overflow.
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
			t.Errorf("age %v decoded as %v", d, time.Duration(got))
		}
	}
	if AgeOf(0) == 0 {
		t.Error("AgeOf(0) is zero, which means that no age is known")
	}
	for _, data := range []string{"-1", "9223372036854775807", "1.5", `"1"`, "null"} {
		if json.Unmarshal([]byte(data), new(Age)) == nil {
			t.Errorf("UnmarshalJSON accepted %s", data)
		}
	}
}
