package settings

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/protocol/yamldoc"
)

// ReadFile reads a whole file, as os.ReadFile does.
type ReadFile func(path string) ([]byte, error)

// Load reads the settings and the files that they name. Relative paths are
// relative to the folder of the settings file. An invalid file gives a
// *yamldoc.Errors with every error.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings cannot be read")
	}
	return Parse(path, data, os.ReadFile)
}

// Parse is Load for settings that are already in memory. path is used in
// messages and as the base of relative paths.
func Parse(path string, data []byte, read ReadFile) (*Settings, error) {
	s := Defaults()
	doc := yamldoc.Decode(path, data, s)
	if s.Advertise == "" {
		s.Advertise = s.Addresses.Peers
	}
	c := &checker{doc: doc, dir: filepath.Dir(path), read: read}
	c.check(s)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// file returns the content of a file named by a setting. It records an error
// and returns nil if the file cannot be read or is empty.
func (c *checker) file(at, path string) []byte {
	full := path
	if !filepath.IsAbs(path) {
		full = filepath.Join(c.dir, path)
	}
	data, err := c.read(full)
	switch {
	case err != nil:
		c.fail(at, "cannot read the file: %v", err)
	case len(data) == 0:
		c.fail(at, "%s is empty", path)
	default:
		return data
	}
	return nil
}

// secretFile returns the content of a file without the newline at its end.
func (c *checker) secretFile(at, path string) Secret {
	data := c.file(at, path)
	text := strings.TrimSuffix(strings.TrimSuffix(string(data), "\n"), "\r")
	if data != nil && text == "" {
		c.fail(at, "%s holds an empty line", path)
	}
	return Secret(text)
}

func (c *checker) tls(t *TLS) {
	switch {
	case t.CertificateFile == "" && t.KeyFile == "":
		return
	case t.CertificateFile == "":
		c.fail("tls", "tls.certificate_file is missing; tls needs both files")
		return
	case t.KeyFile == "":
		c.fail("tls", "tls.key_file is missing; tls needs both files")
		return
	}
	certificate := c.file("tls.certificate_file", t.CertificateFile)
	key := c.file("tls.key_file", t.KeyFile)
	if certificate == nil || key == nil {
		return
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		c.fail("tls.certificate_file", "the certificate and its key cannot be used: %v", err)
		return
	}
	t.Certificate = &pair
}
