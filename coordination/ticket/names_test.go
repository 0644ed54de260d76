package ticket

import (
	"strings"
	"testing"
)

// Guards against accepting mistyped addresses and refusing valid ones.
func TestCheckAddress(t *testing.T) {
	for _, address := range []string{"10.1.0.21:7000", "[fd00::1]:7000", "localhost:1", "vm-1.fes.example:65535", "a_b:80"} {
		if err := CheckAddress(address); err != nil {
			t.Errorf("%s is refused: %v", address, err)
		}
	}
	for _, address := range []string{"", "10.1.0.21", "10.1.0.21:", "10.1.0.21:0", "10.1.0.21:65536", "10.1.0.21:-1", "10.1.0.21:pg", "10.1.0:80",
		"10.1.0.256:80", ":80", "fd00::1:80", "[fd00::1:80", "[10.1.0.21]:80", "a..b:80", "-a:80", "a-:80", "a b:80", "http://a:80", strings.Repeat("a", 254) + ":80"} {
		if CheckAddress(address) == nil {
			t.Errorf("%q is accepted", address)
		}
	}
}

// Guards against names that do not fit into a path, a metric label or the
// start-up message of a client.
func TestCheckName(t *testing.T) {
	for _, name := range []string{"a", "Ledger-1.b_c", "9", strings.Repeat("x", 63)} {
		if err := CheckName(name); err != nil {
			t.Errorf("%s is refused: %v", name, err)
		}
	}
	for _, name := range []string{"", "-a", ".", "a/b", "a b", "Fès", "a\x00", strings.Repeat("x", 64)} {
		if CheckName(name) == nil {
			t.Errorf("%q is accepted", name)
		}
	}
}
