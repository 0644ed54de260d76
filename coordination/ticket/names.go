package ticket

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// maxName is the longest name in bytes: the longest identifier in PostgreSQL,
// where customers appear as user names and routes as database names.
const maxName = 63

// maxHost is the longest host name in bytes (RFC 1035).
const maxHost = 253

// CheckName reports what is wrong with the name of an object, a VM or a backend
// server. Names are parts of paths in the store and of metric labels, so they
// consist of ASCII letters, digits, ".", "_" and "-", and begin with a letter or
// a digit.
func CheckName(name string) error {
	switch {
	case name == "":
		return eris.New("the name is missing")
	case len(name) > maxName:
		return eris.Errorf("the name has %d bytes; at most %d are allowed", len(name), maxName)
	case !isAlphanumeric(rune(name[0])):
		return eris.Errorf("the name %q does not begin with a letter or a digit", name)
	}
	for _, r := range name {
		if !isAlphanumeric(r) && !strings.ContainsRune("._-", r) {
			return eris.Errorf("the name %q contains %q; letters, digits, \".\", \"_\" and \"-\" are allowed", name, r)
		}
	}
	return nil
}

func isAlphanumeric(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}

// CheckAddress reports what is wrong with a host:port address. The host is an
// IP address or a host name; an IPv6 address stands in brackets.
func CheckAddress(address string) error {
	if address == "" {
		return eris.New("the address is missing")
	}
	i := strings.LastIndexByte(address, ':')
	if i < 0 {
		return eris.Errorf("the address %q has no port; expected host:port", address)
	}
	host, port := address[:i], address[i+1:]
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return eris.Errorf("the address %q has the port %q; expected 1 to 65535", address, port)
	}
	if !validHost(host) {
		return eris.Errorf("the address %q has the host %q; expected an IP address or a host name", address, host)
	}
	return nil
}

func validHost(host string) bool {
	if inner, ok := strings.CutPrefix(host, "["); ok {
		inner, closed := strings.CutSuffix(inner, "]")
		a, err := netip.ParseAddr(inner)
		return closed && err == nil && a.Is6()
	}
	// A host of digits and dots that is no IP address is a mistyped one, not a name.
	if strings.Trim(host, "0123456789.") == "" {
		_, err := netip.ParseAddr(host)
		return err == nil
	}
	return validHostName(host)
}

func validHostName(host string) bool {
	if len(host) > maxHost {
		return false
	}
	for _, label := range strings.Split(host, ".") {
		if label == "" || strings.HasPrefix(label, "-") || strings.HasSuffix(label, "-") {
			return false
		}
		for _, r := range label {
			if !isAlphanumeric(r) && r != '-' && r != '_' {
				return false
			}
		}
	}
	return true
}
