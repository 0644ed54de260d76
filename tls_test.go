package chestnutdyke_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// Guards against a failed login when the client sends its password in the same
// segment as the start-up message.
func TestLoginInOneSegment(t *testing.T) {
	withFleet(t, func(h *harness) {
		conn, err := h.fleet.DialVM(background, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		startup := &pgproto3.StartupMessage{
			ProtocolVersion: pgproto3.ProtocolVersion30,
			Parameters:      map[string]string{"user": "bindery", "database": "ledger"},
		}
		raw, err := startup.Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		raw, err = (&pgproto3.PasswordMessage{Password: fleet.Key("bindery")}).Encode(raw)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(raw); err != nil {
			t.Fatal(err)
		}
		if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		readUntilReady(t, conn)
	})
}

// readUntilReady reads messages up to ReadyForQuery.
func readUntilReady(t *testing.T, conn net.Conn) {
	t.Helper()
	f := pgproto3.NewFrontend(conn, conn)
	for {
		msg, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if _, ready := msg.(*pgproto3.ReadyForQuery); ready {
			return
		}
	}
}

// Guards against sending customers' keys unencrypted: a client that requests TLS
// gets a TLS connection if the VM has a certificate.
func TestClientsUseTLS(t *testing.T) {
	certificate := newCertificate(t)
	adjust := func(o *chestnutdyke.Options) {
		o.TLS = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
	}
	withAdjustedFleet(t, adjust, func(h *harness) {
		cfg := h.clientConfig(0, "")
		cfg.TLSConfig = &tls.Config{InsecureSkipVerify: true}
		c, err := pgx.ConnectConfig(background, cfg)
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := c.PgConn().Conn().(*tls.Conn); !ok {
			t.Error("connection is not encrypted")
		}
		h.exec(c, "INSERT INTO kv VALUES ('skin-1', 'reserved')")
		h.close(c)
	})
}

func newCertificate(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "vm"},
		NotBefore:    time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:     time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}
