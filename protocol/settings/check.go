package settings

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/yamldoc"
)

// minFleetSecretBytes is the minimum length of the fleet secret: 128 bits of
// entropy if its bytes are random.
const minFleetSecretBytes = 16

// checker validates settings, reads the files that they name, and records errors
// in the document.
type checker struct {
	doc     *yamldoc.Document
	baseDir string // folder that relative paths are relative to
	read    ReadFile
}

// addError records an error for a field, given as its path joined with dots.
func (c *checker) addError(field, format string, args ...any) {
	c.doc.AddError(strings.Split(field, "."), format, args...)
}

func (c *checker) check(s *Settings) {
	c.checkName("vm", s.VM)
	c.checkName("data_centre", s.DataCentre)
	c.checkListenAddress("addresses.clients", s.Addresses.Clients)
	c.checkListenAddress("addresses.peers", s.Addresses.Peers)
	c.checkListenAddress("addresses.admin", s.Addresses.Admin)
	c.checkDistinctAddresses(s)
	c.checkAdvertise(s)
	c.checkTLS(&s.TLS)
	c.checkFleetSecret(&s.FleetSecret)
	c.checkDialAddress("store", s.Store)
	c.checkSeeds(s.Seeds)
	c.checkBackend(&s.Backend)
	c.checkPositive("workers", s.Workers)
	c.checkLimits(&s.Limits)
	c.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.checkOneOf("log.format", s.Log.Format, "text", "json")
	c.checkTrace(&s.Trace)
}

func (c *checker) checkName(field, value string) {
	if err := ticket.CheckName(value); err != nil {
		c.addError(field, "%s: %v", field, err)
	}
}

// checkListenAddress checks an address to listen on. Its host may be empty.
func (c *checker) checkListenAddress(field, address string) {
	if strings.HasPrefix(address, ":") {
		address = "0.0.0.0" + address
	}
	c.checkDialAddress(field, address)
}

// checkDialAddress checks an address to connect to.
func (c *checker) checkDialAddress(field, address string) {
	if err := ticket.CheckAddress(address); err != nil {
		c.addError(field, "%s: %v", field, err)
	}
}

func (c *checker) checkDistinctAddresses(s *Settings) {
	a := s.Addresses
	if a.Peers != "" && a.Peers == a.Clients {
		c.addError("addresses.peers", "addresses.peers is the same as addresses.clients")
	}
	if a.Admin != "" && (a.Admin == a.Clients || a.Admin == a.Peers) {
		c.addError("addresses.admin", "addresses.admin is the same as another address")
	}
}

// checkAdvertise checks that the advertised address names a host that other VMs
// can connect to. If it is the default, addresses.peers is not checked again, so
// that an error in it is reported once.
func (c *checker) checkAdvertise(s *Settings) {
	isDefault := s.Advertise == s.Addresses.Peers
	if !isDefault {
		c.checkDialAddress("advertise", s.Advertise)
	}
	address, err := netip.ParseAddrPort(s.Advertise)
	if strings.HasPrefix(s.Advertise, ":") || err == nil && address.Addr().IsUnspecified() {
		c.addError("advertise", "advertise must name the host under which other VMs reach this one")
	}
}

// checkFleetSecret checks the fleet secret and sets its Value.
func (c *checker) checkFleetSecret(f *SecretSource) {
	switch {
	case f.File != "" && f.Inline != "":
		c.addError("fleet_secret", "fleet_secret has both file and inline; give one of them")
		return
	case f.File != "":
		f.Value = c.readSecretFile("fleet_secret.file", f.File)
		if f.Value == "" {
			return
		}
	case f.Inline != "":
		f.Value = f.Inline
	default:
		c.addError("fleet_secret", "fleet_secret is missing; give file or inline")
		return
	}
	if len(f.Value) < minFleetSecretBytes {
		c.addError("fleet_secret", "fleet_secret has %d bytes; at least %d are needed", len(f.Value), minFleetSecretBytes)
	}
}

func (c *checker) checkSeeds(seeds []Seed) {
	for i, seed := range seeds {
		path := yamldoc.Path{"seeds", strconv.Itoa(i)}
		if err := ticket.CheckName(seed.VM); err != nil {
			c.doc.AddError(path, "seeds: %v", err)
		}
		if err := ticket.CheckAddress(seed.Address); err != nil {
			c.doc.AddError(path, "seeds: %v", err)
		}
		hasSameAddress := func(other Seed) bool { return other.Address == seed.Address }
		if slices.IndexFunc(seeds, hasSameAddress) < i {
			c.doc.AddError(path, "seeds: %s appears twice", seed.Address)
		}
	}
}

func (c *checker) checkBackend(b *Backend) {
	if b.User == "" {
		c.addError("backend.user", "backend.user is missing")
	}
	if b.PasswordFile != "" {
		b.Password = c.readSecretFile("backend.password_file", b.PasswordFile)
	}
}

func (c *checker) checkLimits(l *Limits) {
	c.checkPositive("limits.sessions", l.Sessions)
	c.checkPositive("limits.session_queue", l.SessionQueue)
	c.checkPositive("limits.server_waiters", l.ServerWaiters)
	if l.DefaultDeadline <= 0 {
		c.addError("limits.default_deadline", "limits.default_deadline must be above zero, not %v", l.DefaultDeadline)
	}
}

func (c *checker) checkPositive(field string, value int) {
	if value <= 0 {
		c.addError(field, "%s must be above zero, not %d", field, value)
	}
}

func (c *checker) checkOneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addError(field, "%s must be one of %s, not %q", field, strings.Join(allowed, ", "), value)
	}
}

func (c *checker) checkTrace(t *Trace) {
	c.checkOneOf("trace.exporter", t.Exporter, "none", "stdout", "otlp")
	switch {
	case t.Exporter == "otlp" && t.Endpoint == "":
		c.addError("trace.endpoint", "trace.endpoint is required by the exporter otlp")
	case t.Exporter == "otlp":
		c.checkDialAddress("trace.endpoint", t.Endpoint)
	case t.Endpoint != "":
		c.addError("trace.endpoint", "trace.endpoint is used by the exporter otlp only")
	}
}
