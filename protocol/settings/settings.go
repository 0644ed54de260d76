// Package settings reads the settings of one VM from a YAML file: its name and
// addresses, how it reaches other VMs, the store and backend servers, and its
// limits, log and traces. Configuration that all VMs share is in tickets instead.
package settings

import (
	"crypto/tls"
	"fmt"
	"io"
	"runtime"
	"time"
)

// Settings holds the settings of one VM. Load and Parse return it only if it is
// complete and valid. Fields without a default are required, unless their comment
// says otherwise.
type Settings struct {
	// VM is the name of this VM. The configuration must list it under this name.
	VM string `yaml:"vm"`
	// DataCentre is the name of the data centre that this VM runs in.
	DataCentre string `yaml:"data_centre"`
	// Addresses are the addresses that the VM listens on.
	Addresses Addresses `yaml:"addresses"`
	// Advertise is the host:port under which other VMs reach this one. Default
	// addresses.peers, which must then name a host.
	Advertise string `yaml:"advertise"`
	// TLS is the certificate for client connections. Without it, client connections
	// are not encrypted.
	TLS TLS `yaml:"tls"`
	// FleetSecret authenticates messages between VMs and session tokens. It must be
	// the same on all VMs.
	FleetSecret SecretSource `yaml:"fleet_secret"`
	// Store is the host:port of the platform's object API.
	Store string `yaml:"store"`
	// Seeds are VMs that this VM contacts when it knows no others. Default none; the
	// VM then needs the store to start.
	Seeds []Seed `yaml:"seeds"`
	// Backend holds the credentials for backend servers.
	Backend Backend `yaml:"backend"`
	// Workers is the number of workers that process the VM's events, such as the
	// requests of its sessions. Default one per CPU.
	Workers int `yaml:"workers"`
	// Limits bounds the resources of one VM.
	Limits Limits `yaml:"limits"`
	// Log sets the level and the format of the log.
	Log Log `yaml:"log"`
	// Trace selects the exporter of traces.
	Trace Trace `yaml:"trace"`
	// Baselines disables parts of the system for comparison measurements.
	Baselines Baselines `yaml:"baselines"`
}

// Seed is a VM to contact. It includes the name, because messages are addressed
// to a name: a VM that reuses the address of another VM refuses messages for that
// VM.
type Seed struct {
	// VM is the name of the VM.
	VM string `yaml:"vm"`
	// Address is the host:port of its peer interface.
	Address string `yaml:"address"`
}

// Addresses holds the host:port addresses to listen on. An empty host means all
// interfaces.
type Addresses struct {
	// Clients is for clients, which use the PostgreSQL wire protocol.
	Clients string `yaml:"clients"`
	// Peers is for other VMs.
	Peers string `yaml:"peers"`
	// Admin is for operators. It serves status, metrics and health checks over HTTP.
	Admin string `yaml:"admin"`
}

// TLS names the files of a certificate. Both must be set, or neither.
type TLS struct {
	// CertificateFile is a PEM file with the certificate and its chain. Default none.
	CertificateFile string `yaml:"certificate_file"`
	// KeyFile is a PEM file with the private key. Default none.
	KeyFile string `yaml:"key_file"`

	// Certificate is loaded from the files. It is nil if they are not set.
	Certificate *tls.Certificate `yaml:"-"`
}

// SecretSource is a secret given in a separate file or inline. Exactly one of the
// two must be set.
type SecretSource struct {
	// File contains the secret; one trailing newline is removed. Default none.
	File string `yaml:"file"`
	// Inline is the secret itself. Default none.
	Inline Secret `yaml:"inline"`

	// Value is the secret, from either source.
	Value Secret `yaml:"-"`
}

// Backend holds the credentials for backend servers.
type Backend struct {
	// User is the name of the database user.
	User string `yaml:"user"`
	// PasswordFile contains the password; one trailing newline is removed. Default
	// none, for backend servers that require no password.
	PasswordFile string `yaml:"password_file"`

	// Password is read from the file.
	Password Secret `yaml:"-"`
}

// Limits bounds the resources of one VM. The fields are counts, except
// DefaultDeadline.
type Limits struct {
	// Sessions is the maximum number of concurrent client connections; further ones
	// are refused with SQLSTATE 53300. Default 4096, about twice the number of
	// clients for each VM in the design target.
	Sessions int `yaml:"sessions"`
	// SessionQueue is the maximum number of queued events per session. While the
	// queue is full, the VM does not read responses from the backend connection.
	// Default 32.
	SessionQueue int `yaml:"session_queue"`
	// ServerWaiters is the maximum number of requests per backend server that wait
	// for a connection; more are refused with SQLSTATE 53300. Default 512.
	ServerWaiters int `yaml:"server_waiters"`
	// DefaultDeadline is the time limit from the arrival of a request to the end of
	// its answer, for routes without a deadline. Default 5s.
	DefaultDeadline time.Duration `yaml:"default_deadline"`
}

// Log sets the level and the format of the log.
type Log struct {
	// Level is the minimum level that is logged: debug, info, warn or error. Default
	// info.
	Level string `yaml:"level"`
	// Format is text or json. Default text.
	Format string `yaml:"format"`
}

// Trace selects the exporter of traces.
type Trace struct {
	// Exporter is none, stdout or otlp. Default none.
	Exporter string `yaml:"exporter"`
	// Endpoint is the host:port of the OTLP/HTTP receiver. It is required for otlp
	// and refused otherwise. Default none.
	Endpoint string `yaml:"endpoint"`
}

// Baselines disables parts of the system, so that measurements can show what each
// part contributes. In production all fields are false.
type Baselines struct {
	// ReadsOnPrimary sends every read to the primary. Default false.
	ReadsOnPrimary bool `yaml:"reads_on_primary"`
	// StaticShares divides each customer's rate equally among all VMs in service, and
	// disables loans of rates and connections between VMs. Default false.
	StaticShares bool `yaml:"static_shares"`
	// NoFairQueueing serves the requests for a backend server in order of arrival.
	// Default false.
	NoFairQueueing bool `yaml:"no_fair_queueing"`
	// NoGroupCommit asks the servers of a group for their log positions separately
	// for every write, instead of once for all writes that wait. Default false.
	NoGroupCommit bool `yaml:"no_group_commit"`
}

// Defaults returns settings in which fields with a default are set and all others
// are empty. Advertise is left empty; Parse sets it from addresses.peers.
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

// Secret is a string that is redacted in formatted and encoded output.
type Secret string

// redacted replaces secrets in output.
const redacted = "[redacted]"

// Format implements fmt.Formatter. It prints a placeholder for every verb.
func (Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText implements encoding.TextMarshaler. It returns a placeholder, which
// keeps the secret out of JSON and structured logs.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Bytes returns the secret in plain text.
func (s Secret) Bytes() []byte { return []byte(s) }
