package settings

import (
	"fmt"
	"strings"
)

// ReferenceRow documents one setting.
type ReferenceRow struct {
	Name        string // path in the file, joined with dots
	Type        string
	Default     string // "required" if there is none
	Description string
}

// required is the Default of settings that must be given.
const required = "required"

// Reference returns the documentation of all settings, in the order of the fields
// of Settings.
func Reference() []ReferenceRow {
	return []ReferenceRow{
		{"vm", "name", required, "name of this VM, as listed in the ticket"},
		{"data_centre", "name", required, "data centre that this VM runs in"},
		{"addresses.clients", "host:port", required, "listens here for clients (PostgreSQL wire protocol)"},
		{"addresses.peers", "host:port", required, "listens here for other VMs"},
		{"addresses.admin", "host:port", required, "listens here for operators: status, metrics and health over HTTP"},
		{"advertise", "host:port", "addresses.peers", "address under which other VMs reach this one; must name a host"},
		{"tls.certificate_file", "path", "none", "PEM file with the certificate shown to clients and its chain; needs tls.key_file"},
		{"tls.key_file", "path", "none", "PEM file with the private key of the certificate"},
		{"fleet_secret.file", "path", "none", "file with the secret that all VMs share; this or fleet_secret.inline is required, at least 16 bytes"},
		{"fleet_secret.inline", "text", "none", "the secret itself"},
		{"store", "host:port", required, "the platform's object API"},
		{"seeds", "list of vm and address", "none", "VMs that this one contacts first; without them it needs the store to start"},
		{"backend.user", "text", required, "user name towards backend servers"},
		{"backend.password_file", "path", "none", "file with the password towards backend servers"},
		{"workers", "whole number", "one per CPU", "workers that run decisions"},
		{"limits.sessions", "whole number", "4096", "clients connected at once"},
		{"limits.session_queue", "whole number", "32", "events that wait per session; a full queue stops the reader of the connection"},
		{"limits.server_waiters", "whole number", "512", "requests per backend server that wait for a connection"},
		{"limits.default_deadline", "duration", "5s", "longest time from arrival to answer on routes that state none"},
		{"log.level", "debug, info, warn or error", "info", "lowest level that is logged"},
		{"log.format", "text or json", "text", "form of a log line"},
		{"trace.exporter", "none, stdout or otlp", "none", "where traces go"},
		{"trace.endpoint", "host:port", "none", "OTLP receiver over HTTP; required by the exporter otlp"},
		{"baselines.reads_on_primary", "true or false", "false", "for measurements: send every read to the primary"},
		{"baselines.static_shares", "true or false", "false", "for measurements: lend nothing between VMs"},
		{"baselines.no_fair_queueing", "true or false", "false", "for measurements: serve requests in order of arrival"},
		{"baselines.no_group_commit", "true or false", "false", "for measurements: one position round per write"},
	}
}

// ReferenceTable returns the reference as a Markdown table. docs/OPERATIONS.md
// contains this table.
func ReferenceTable() string {
	var b strings.Builder
	b.WriteString("| setting | type | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, r := range Reference() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", r.Name, r.Type, r.Default, r.Description)
	}
	return b.String()
}
