package ticket

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// maxNameLength is the maximum length of a name in bytes. It is that of
// PostgreSQL identifiers, because customers appear as user names and routes as
// database names.
const maxNameLength = 63

// maxHostLength is the maximum length of a host name in bytes (RFC 1035).
const maxHostLength = 253

// CheckName returns an error if the name of an object, a VM or a backend server
// is invalid. Names are used in paths of the store and in metric labels, so
// they consist of ASCII letters, digits, ".", "_" and "-", and begin with a
// letter or a digit.
func CheckName(name string) error {
	switch {
	case name == "":
		return eris.New("the name is missing")
	case len(name) > maxNameLength:
		return eris.Errorf("the name has %d bytes; at most %d are allowed", len(name), maxNameLength)
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

// CheckAddress returns an error if a host:port address is invalid. The host is
// an IP address or a host name; an IPv6 address is enclosed in brackets.
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
	// A host of digits and dots that is not an IP address is a mistyped one.
	if strings.Trim(host, "0123456789.") == "" {
		_, err := netip.ParseAddr(host)
		return err == nil
	}
	return validHostName(host)
}

func validHostName(host string) bool {
	if len(host) > maxHostLength {
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
