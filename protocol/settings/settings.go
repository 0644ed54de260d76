// Package settings reads the settings of one VM from a YAML file. Everything
// that all VMs share is in tickets instead; a VM's settings say only who it is,
// where it listens and how it reaches the others.
package settings

import (
	"crypto/tls"
	"fmt"
	"io"
	"runtime"
	"time"
)

// Settings are the settings of one VM. Load and Parse return them only if they
// are complete and valid. Fields without a default are required, unless their
// comment says otherwise.
type Settings struct {
	// VM is the name of this VM, as listed in the ticket.
	VM string `yaml:"vm"`
	// DataCentre is the name of the data centre that this VM runs in.
	DataCentre string `yaml:"data_centre"`
	// Addresses are the addresses that the VM listens on.
	Addresses Addresses `yaml:"addresses"`
	// Advertise is the host:port under which other VMs reach this one. Default
	// addresses.peers, which must then name a host.
	Advertise string `yaml:"advertise"`
	// TLS is the certificate shown to clients. Without it clients connect in
	// plain text.
	TLS TLS `yaml:"tls"`
	// FleetSecret authenticates messages between VMs and session tokens. All VMs
	// have the same.
	FleetSecret SecretSource `yaml:"fleet_secret"`
	// Store is the host:port of the platform's object API.
	Store string `yaml:"store"`
	// Seeds are VMs that this one contacts first, when it knows no
	// others. Default none; the VM then needs the store to start.
	Seeds []Seed `yaml:"seeds"`
	// Backend are the credentials that the VM uses towards backend servers.
	Backend Backend `yaml:"backend"`
	// Workers is the number of workers that run decisions. Default one per CPU.
	Workers int `yaml:"workers"`
	// Limits bound what one VM holds at once.
	Limits Limits `yaml:"limits"`
	// Log says what is logged and how.
	Log Log `yaml:"log"`
	// Trace says where traces go.
	Trace Trace `yaml:"trace"`
	// Baselines switch parts of the system off for comparison measurements.
	Baselines Baselines `yaml:"baselines"`
}

// Seed is a VM to contact. Messages are addressed to a name, so that a VM which
// took over an address refuses those of its predecessor.
type Seed struct {
	// VM is the name of the VM.
	VM string `yaml:"vm"`
	// Address is the host:port of its peer interface.
	Address string `yaml:"address"`
}

// Addresses are host:port addresses to listen on. An empty host listens on all
// interfaces.
type Addresses struct {
	// Clients is for clients, in the PostgreSQL wire protocol.
	Clients string `yaml:"clients"`
	// Peers is for other VMs.
	Peers string `yaml:"peers"`
	// Admin is for operators: status, metrics and health over HTTP.
	Admin string `yaml:"admin"`
}

// TLS names the files of a certificate. Either both are set or none.
type TLS struct {
	// CertificateFile is a PEM file with the certificate and its chain. Default
	// none.
	CertificateFile string `yaml:"certificate_file"`
	// KeyFile is a PEM file with the private key. Default none.
	KeyFile string `yaml:"key_file"`

	// Certificate is read from the files; nil without them.
	Certificate *tls.Certificate `yaml:"-"`
}

// SecretSource is a secret, in a file of its own or inline. Exactly one of the
// two is set.
type SecretSource struct {
	// File holds the secret; one newline at its end is dropped. Default none.
	File string `yaml:"file"`
	// Inline is the secret itself. Default none.
	Inline Secret `yaml:"inline"`

	// Value is the secret, from either source.
	Value Secret `yaml:"-"`
}

// Backend are credentials towards backend servers.
type Backend struct {
	// User is the user name.
	User string `yaml:"user"`
	// PasswordFile holds the password; one newline at its end is dropped. Default
	// none, for backend servers that ask for no password.
	PasswordFile string `yaml:"password_file"`

	// Password is read from the file.
	Password Secret `yaml:"-"`
}

// Limits bound what one VM holds at once. They are counts, except
// DefaultDeadline.
type Limits struct {
	// Sessions is the number of clients connected at once; more are refused with
	// 53300. Default 4096, about twice the VM's part of the design target.
	Sessions int `yaml:"sessions"`
	// SessionQueue is the number of events that wait per session; the reader of
	// the connection stops at a full queue. Default 32.
	SessionQueue int `yaml:"session_queue"`
	// ServerWaiters is the number of requests per backend server that wait for a
	// connection; more are refused with 53300. Default 512.
	ServerWaiters int `yaml:"server_waiters"`
	// DefaultDeadline is the longest time from arrival to answer on routes that
	// state none. Default 5s.
	DefaultDeadline time.Duration `yaml:"default_deadline"`
}

// Log says what is logged and how.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	// Default info.
	Level string `yaml:"level"`
	// Format is text or json. Default text.
	Format string `yaml:"format"`
}

// Trace says where traces go.
type Trace struct {
	// Exporter is none, stdout or otlp. Default none.
	Exporter string `yaml:"exporter"`
	// Endpoint is the host:port of the OTLP receiver over HTTP; required for otlp,
	// refused otherwise. Default none.
	Endpoint string `yaml:"endpoint"`
}

// Baselines switch parts of the system off, so that measurements can show what
// they contribute. Production systems leave all of them off.
type Baselines struct {
	// ReadsOnPrimary sends every read to the primary. Default false.
	ReadsOnPrimary bool `yaml:"reads_on_primary"`
	// StaticShares lends nothing between VMs. Default false.
	StaticShares bool `yaml:"static_shares"`
	// NoFairQueueing serves the requests for a backend server in order of arrival.
	// Default false.
	NoFairQueueing bool `yaml:"no_fair_queueing"`
	// NoGroupCommit makes a position round of its own for every write. Default
	// false.
	NoGroupCommit bool `yaml:"no_group_commit"`
}

// Defaults returns settings with every default in place and all else empty.
func Defaults() *Settings {
	return &Settings{
		Workers: runtime.NumCPU(),
		Limits: Limits{
			Sessions:        4096,
			SessionQueue:    32,
			ServerWaiters:   512,
			DefaultDeadline: 5 * time.Second,
		},
		Log:   Log{Level: "info", Format: "text"},
		Trace: Trace{Exporter: "none"},
	}
}

// Secret is a text that no format verb prints.
type Secret string

// redacted stands in for a secret wherever one would be printed.
const redacted = "[redacted]"

// Format implements fmt.Formatter, so that no verb prints the secret.
func (Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText keeps the secret out of JSON and structured logs.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Bytes returns the secret itself.
func (s Secret) Bytes() []byte { return []byte(s) }
