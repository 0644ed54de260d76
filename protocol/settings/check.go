package settings

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/yamldoc"
)

// minFleetSecret is the shortest fleet secret in bytes: 128 bits if it is
// random.
const minFleetSecret = 16

// checker records the errors of settings.
type checker struct {
	doc  *yamldoc.Document
	dir  string
	read ReadFile
}

func (c *checker) fail(at, format string, args ...any) {
	c.doc.AddError(strings.Split(at, "."), format, args...)
}

func (c *checker) check(s *Settings) {
	c.name("vm", s.VM)
	c.name("data_centre", s.DataCentre)
	c.listen("addresses.clients", s.Addresses.Clients)
	c.listen("addresses.peers", s.Addresses.Peers)
	c.listen("addresses.admin", s.Addresses.Admin)
	c.distinct(s)
	c.advertise(s)
	c.tls(&s.TLS)
	c.fleetSecret(&s.FleetSecret)
	c.dial("store", s.Store)
	c.seeds(s.Seeds)
	c.backend(&s.Backend)
	c.positive("workers", s.Workers)
	c.limits(&s.Limits)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
	c.trace(&s.Trace)
}

func (c *checker) name(at, value string) {
	if err := ticket.CheckName(value); err != nil {
		c.fail(at, "%s: %v", at, err)
	}
}

// listen checks an address to listen on, whose host may be empty.
func (c *checker) listen(at, address string) {
	if strings.HasPrefix(address, ":") {
		address = "0.0.0.0" + address
	}
	c.dial(at, address)
}

// dial checks an address to connect to.
func (c *checker) dial(at, address string) {
	if err := ticket.CheckAddress(address); err != nil {
		c.fail(at, "%s: %v", at, err)
	}
}

func (c *checker) distinct(s *Settings) {
	a := s.Addresses
	if a.Peers != "" && a.Peers == a.Clients {
		c.fail("addresses.peers", "addresses.peers is the same as addresses.clients")
	}
	if a.Admin != "" && (a.Admin == a.Clients || a.Admin == a.Peers) {
		c.fail("addresses.admin", "addresses.admin is the same as another address")
	}
}

// advertise checks that the advertised address names a host that others can
// dial. When it is the default, an error in addresses.peers is reported once.
func (c *checker) advertise(s *Settings) {
	fromPeers := s.Advertise == s.Addresses.Peers
	if !fromPeers {
		c.dial("advertise", s.Advertise)
	}
	host, err := netip.ParseAddrPort(s.Advertise)
	if strings.HasPrefix(s.Advertise, ":") || err == nil && host.Addr().IsUnspecified() {
		c.fail("advertise", "advertise must name the host under which other VMs reach this one")
	}
}

func (c *checker) fleetSecret(f *SecretSource) {
	switch {
	case f.File != "" && f.Inline != "":
		c.fail("fleet_secret", "fleet_secret has both file and inline; give one of them")
		return
	case f.File != "":
		f.Value = c.secretFile("fleet_secret.file", f.File)
		if f.Value == "" {
			return
		}
	case f.Inline != "":
		f.Value = f.Inline
	default:
		c.fail("fleet_secret", "fleet_secret is missing; give file or inline")
		return
	}
	if len(f.Value) < minFleetSecret {
		c.fail("fleet_secret", "fleet_secret has %d bytes; at least %d are needed", len(f.Value), minFleetSecret)
	}
}

func (c *checker) seeds(seeds []Seed) {
	for i, seed := range seeds {
		at := yamldoc.Path{"seeds", strconv.Itoa(i)}
		if err := ticket.CheckName(seed.VM); err != nil {
			c.doc.AddError(at, "seeds: %v", err)
		}
		if err := ticket.CheckAddress(seed.Address); err != nil {
			c.doc.AddError(at, "seeds: %v", err)
		}
		sameAddress := func(other Seed) bool { return other.Address == seed.Address }
		if slices.IndexFunc(seeds, sameAddress) < i {
			c.doc.AddError(at, "seeds: %s appears twice", seed.Address)
		}
	}
}

func (c *checker) backend(b *Backend) {
	if b.User == "" {
		c.fail("backend.user", "backend.user is missing")
	}
	if b.PasswordFile != "" {
		b.Password = c.secretFile("backend.password_file", b.PasswordFile)
	}
}

func (c *checker) limits(l *Limits) {
	c.positive("limits.sessions", l.Sessions)
	c.positive("limits.session_queue", l.SessionQueue)
	c.positive("limits.server_waiters", l.ServerWaiters)
	if l.DefaultDeadline <= 0 {
		c.fail("limits.default_deadline", "limits.default_deadline must be above zero, not %v", l.DefaultDeadline)
	}
}

func (c *checker) positive(at string, value int) {
	if value <= 0 {
		c.fail(at, "%s must be above zero, not %d", at, value)
	}
}

func (c *checker) oneOf(at, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.fail(at, "%s must be one of %s, not %q", at, strings.Join(allowed, ", "), value)
	}
}

func (c *checker) trace(t *Trace) {
	c.oneOf("trace.exporter", t.Exporter, "none", "stdout", "otlp")
	switch {
	case t.Exporter == "otlp" && t.Endpoint == "":
		c.fail("trace.endpoint", "trace.endpoint is required by the exporter otlp")
	case t.Exporter == "otlp":
		c.dial("trace.endpoint", t.Endpoint)
	case t.Endpoint != "":
		c.fail("trace.endpoint", "trace.endpoint is used by the exporter otlp only")
	}
}
