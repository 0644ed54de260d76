package examples

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/settings"
	"github.com/chestnutdyke/chestnutdyke/protocol/ticketfile"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// load reads the settings and the ticket of an example. It supplies generated
// contents for the certificate and secret files that the settings refer to.
func load(t *testing.T, example string) (*settings.Settings, *state.Config) {
	t.Helper()
	certificate, key := newCertificate(t)
	read := func(path string) ([]byte, error) {
		switch {
		case strings.HasSuffix(path, ".crt"):
			return certificate, nil
		case strings.HasSuffix(path, ".key"):
			return key, nil
		default:
			return []byte("0123456789abcdef\n"), nil
		}
	}
	path := filepath.Join(example, "settings.yaml")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s, err := settings.Parse(path, data, read)
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(example, "ticket.yaml")
	if data, err = os.ReadFile(path); err != nil {
		t.Fatal(err)
	}
	file := ticketfile.Parse(path, data)
	config, problems := ticket.Check(nil, file.Ticket)
	for _, p := range file.Problems(problems) {
		t.Error(p.Format(path))
	}
	return s, config
}

func newCertificate(t *testing.T) (certificate, key []byte) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	rawKey, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: rawKey})
}

// Guards against invalid examples, and against examples whose sizes differ from
// those in docs/design.md.
func TestExamples(t *testing.T) {
	for example, connections := range map[string]int{"fes": 20, "peachtree": 30} {
		t.Run(example, func(t *testing.T) {
			s, c := load(t, example)
			if s.TLS.Certificate == nil {
				t.Error("the certificate was not read")
			}
			vm, dc := c.VM(s.VM)
			if vm == nil || dc.Name != s.DataCentre || vm.Address != s.Advertise {
				t.Errorf("VM %s of the settings is not in the ticket", s.VM)
			}
			vms, staleReadRoutes := 0, 0
			for _, dc := range c.DataCentres {
				vms += len(dc.VMs)
			}
			for _, r := range c.Routes {
				if r.Access == state.ReadOnly && r.MaxStaleness > 0 {
					staleReadRoutes++
				}
			}
			if len(c.DataCentres) != 3 || len(c.Groups) != 3 || len(c.Customers) != 8 || vms < 7 || vms > 8 || staleReadRoutes == 0 {
				t.Errorf("%d data centres, %d groups, %d customers, %d VMs, %d read-only routes with a staleness limit",
					len(c.DataCentres), len(c.Groups), len(c.Customers), vms, staleReadRoutes)
			}
			for _, g := range c.Groups {
				dataCentres := make(map[string]bool)
				for _, server := range g.Servers {
					dataCentres[server.DataCentre] = true
					if server.Connections != connections || server.Slots != 3 {
						t.Errorf("server %s has %d connections and %d slots", server.Name, server.Connections, server.Slots)
					}
				}
				if len(g.Servers) != 3 || len(dataCentres) != 3 {
					t.Errorf("group %s has %d servers in %d data centres", g.Name, len(g.Servers), len(dataCentres))
				}
			}
		})
	}
}
