package fleetwire

import "testing"

// Guards against a request that arrives with another server or number, and against one that
// is cut off or asks for a number that no VM needs.
func TestConnectionRequest(t *testing.T) {
	body := AppendConnectionRequest(nil, "server-1", 7)
	if server, n, err := DecodeConnectionRequest(body); server != "server-1" || n != 7 || err != nil {
		t.Errorf("decoded %q, %d, %v", server, n, err)
	}
	for _, malformed := range [][]byte{nil, body[:len(body)-1], append(body, 0), AppendConnectionRequest(nil, "s", maxConnectionRequest+1)} {
		if _, _, err := DecodeConnectionRequest(malformed); err == nil {
			t.Errorf("%q was decoded", malformed)
		}
	}
}
