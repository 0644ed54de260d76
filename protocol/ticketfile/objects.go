package ticketfile

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// The types below are the encodings of configuration objects: YAML in files, JSON
// in the store and in messages. The name of an object is its key in the map.

// objects holds the objects of a ticket or a configuration by name.
type objects struct {
	Customers   map[string]customer   `yaml:"customers,omitempty" json:"customers,omitempty"`
	Groups      map[string]group      `yaml:"groups,omitempty" json:"groups,omitempty"`
	Routes      map[string]route      `yaml:"routes,omitempty" json:"routes,omitempty"`
	DataCentres map[string]dataCentre `yaml:"data_centres,omitempty" json:"data_centres,omitempty"`
}

type customer struct {
	Rate       float64 `yaml:"rate" json:"rate"`
	Burst      float64 `yaml:"burst" json:"burst"`
	Keys       []key   `yaml:"keys,omitempty" json:"keys,omitempty"`
	WhenCutOff *cutOff `yaml:"when_cut_off" json:"when_cut_off"`
}

type key struct {
	ID      string `yaml:"id" json:"id"`
	SHA256  string `yaml:"sha256" json:"sha256"`
	Revoked bool   `yaml:"revoked,omitempty" json:"revoked,omitempty"`
}

type cutOff struct {
	ServeFor string `yaml:"serve_for" json:"serve_for"` // duration, or serveAlways
	Reason   string `yaml:"reason" json:"reason"`
}

type group struct {
	Servers []server `yaml:"servers" json:"servers"`
}

type server struct {
	Name           string `yaml:"name" json:"name"`
	DataCentre     string `yaml:"data_centre" json:"data_centre"`
	Address        string `yaml:"address" json:"address"`
	ControlAddress string `yaml:"control_address" json:"control_address"`
	Connections    int    `yaml:"connections" json:"connections"`
	Slots          int    `yaml:"slots" json:"slots"`
	State          string `yaml:"state,omitempty" json:"state,omitempty"` // in_service if absent
}

type route struct {
	Group        string   `yaml:"group" json:"group"`
	Access       string   `yaml:"access" json:"access"`
	Open         bool     `yaml:"open,omitempty" json:"open,omitempty"`
	ChargedTo    string   `yaml:"charged_to,omitempty" json:"charged_to,omitempty"`
	Customers    []string `yaml:"customers,omitempty" json:"customers,omitempty"`
	MaxStaleness string   `yaml:"max_staleness,omitempty" json:"max_staleness,omitempty"`
	Deadline     string   `yaml:"deadline,omitempty" json:"deadline,omitempty"`
}

type dataCentre struct {
	Region string `yaml:"region,omitempty" json:"region,omitempty"`
	State  string `yaml:"state,omitempty" json:"state,omitempty"` // in_service if absent
	VMs    []vm   `yaml:"vms,omitempty" json:"vms,omitempty"`
}

type vm struct {
	Name         string `yaml:"name" json:"name"`
	Address      string `yaml:"address" json:"address"`
	AdminAddress string `yaml:"admin_address,omitempty" json:"admin_address,omitempty"`
	State        string `yaml:"state,omitempty" json:"state,omitempty"` // in_service if absent
}

// serveAlways is the value of serve_for for no time limit.
const serveAlways = "always"

// reportFunc reports that a value cannot be converted. path is the path of the
// value inside the object.
type reportFunc func(err error, path ...string)

func (c customer) toState(name string, report reportFunc) *state.Customer {
	s := &state.Customer{Name: name, Rate: c.Rate, Burst: c.Burst}
	for i, k := range c.Keys {
		hash, err := parseKeyHash(k.SHA256)
		if err != nil {
			report(err, "keys", strconv.Itoa(i), "sha256")
		}
		s.Keys = append(s.Keys, state.Key{ID: k.ID, Hash: hash, Revoked: k.Revoked})
	}
	if c.WhenCutOff == nil {
		return s
	}
	s.CutOff = state.CutOffPolicy{Reason: c.WhenCutOff.Reason}
	switch c.WhenCutOff.ServeFor {
	case serveAlways:
		s.CutOff.Always = true
	default:
		s.CutOff.ServeFor = parseDuration(c.WhenCutOff.ServeFor, report, "when_cut_off", "serve_for")
	}
	return s
}

func fromCustomer(s *state.Customer) customer {
	c := customer{Rate: s.Rate, Burst: s.Burst, WhenCutOff: &cutOff{Reason: s.CutOff.Reason}}
	for _, k := range s.Keys {
		c.Keys = append(c.Keys, key{k.ID, hex.EncodeToString(k.Hash[:]), k.Revoked})
	}
	switch {
	case s.CutOff.Always:
		c.WhenCutOff.ServeFor = serveAlways
	case s.CutOff.ServeFor == 0:
		c.WhenCutOff.ServeFor = "0s"
	default:
		c.WhenCutOff.ServeFor = formatDuration(s.CutOff.ServeFor)
	}
	return c
}

func (g group) toState(name string, _ reportFunc) *state.Group {
	s := &state.Group{Name: name}
	for _, entry := range g.Servers {
		s.Servers = append(s.Servers, state.BackendServer{
			Name:           entry.Name,
			DataCentre:     entry.DataCentre,
			Address:        entry.Address,
			ControlAddress: entry.ControlAddress,
			Connections:    entry.Connections,
			Slots:          entry.Slots,
			State:          parseServiceState(entry.State),
		})
	}
	return s
}

func fromGroup(s *state.Group) group {
	var g group
	for _, entry := range s.Servers {
		g.Servers = append(g.Servers, server{
			Name:           entry.Name,
			DataCentre:     entry.DataCentre,
			Address:        entry.Address,
			ControlAddress: entry.ControlAddress,
			Connections:    entry.Connections,
			Slots:          entry.Slots,
			State:          formatServiceState(entry.State),
		})
	}
	return g
}

func (r route) toState(name string, report reportFunc) *state.Route {
	return &state.Route{
		Name:         name,
		Group:        r.Group,
		Access:       state.Access(r.Access),
		Open:         r.Open,
		ChargedTo:    r.ChargedTo,
		Customers:    r.Customers,
		MaxStaleness: parseOptionalDuration(r.MaxStaleness, report, "max_staleness"),
		Deadline:     parseOptionalDuration(r.Deadline, report, "deadline"),
	}
}

func fromRoute(s *state.Route) route {
	return route{
		Group:        s.Group,
		Access:       string(s.Access),
		Open:         s.Open,
		ChargedTo:    s.ChargedTo,
		Customers:    s.Customers,
		MaxStaleness: formatDuration(s.MaxStaleness),
		Deadline:     formatDuration(s.Deadline),
	}
}

func (d dataCentre) toState(name string, _ reportFunc) *state.DataCentre {
	s := &state.DataCentre{Name: name, Region: d.Region, State: parseServiceState(d.State)}
	for _, entry := range d.VMs {
		s.VMs = append(s.VMs, state.VM{
			Name:         entry.Name,
			Address:      entry.Address,
			AdminAddress: entry.AdminAddress,
			State:        parseServiceState(entry.State),
		})
	}
	return s
}

func fromDataCentre(s *state.DataCentre) dataCentre {
	d := dataCentre{Region: s.Region, State: formatServiceState(s.State)}
	for _, entry := range s.VMs {
		d.VMs = append(d.VMs, vm{entry.Name, entry.Address, entry.AdminAddress, formatServiceState(entry.State)})
	}
	return d
}

// parseServiceState returns the state for its text. An empty text is in_service.
func parseServiceState(s string) state.ServiceState {
	if s == "" {
		return state.InService
	}
	return state.ServiceState(s)
}

// formatServiceState returns the text for a state, empty for in_service.
func formatServiceState(s state.ServiceState) string {
	if s == state.InService {
		return ""
	}
	return string(s)
}

// parseKeyHash parses the SHA-256 hash of a key. It accepts an empty text, because
// the validation of the ticket reports missing hashes.
func parseKeyHash(text string) (hash state.KeyHash, err error) {
	if text == "" {
		return hash, nil
	}
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(hash) {
		return hash, eris.Errorf("sha256 must be %d hexadecimal digits", 2*len(hash))
	}
	copy(hash[:], raw)
	return hash, nil
}

// parseDuration parses a duration. It reports an error with the name of the field,
// which is the last element of path.
func parseDuration(text string, report reportFunc, path ...string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		report(eris.Errorf("%s must be a duration such as 250ms or 10s, not %q", path[len(path)-1], text), path...)
	}
	return d
}

// parseOptionalDuration is parseDuration, except that an empty text is zero.
func parseOptionalDuration(text string, report reportFunc, path ...string) time.Duration {
	if text == "" {
		return 0
	}
	return parseDuration(text, report, path...)
}

// formatDuration formats a duration as operators write it: 15m, not 15m0s. It
// returns an empty text for zero.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
