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
// relative to the folder of the settings file. If the settings are invalid, the
// error is a *yamldoc.Errors that lists all errors.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings cannot be read")
	}
	return Parse(path, data, os.ReadFile)
}

// Parse is Load for settings that are already in memory. path is the name of the
// file in messages and gives the folder for relative paths. read reads the files
// that the settings name.
func Parse(path string, data []byte, read ReadFile) (*Settings, error) {
	s := Defaults()
	doc := yamldoc.Decode(path, data, s)
	if s.Advertise == "" {
		s.Advertise = s.Addresses.Peers
	}
	c := &checker{doc: doc, baseDir: filepath.Dir(path), read: read}
	c.check(s)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// readFile returns the content of a file that a setting names. If the file cannot
// be read or is empty, it records an error and returns nil.
func (c *checker) readFile(field, path string) []byte {
	full := path
	if !filepath.IsAbs(path) {
		full = filepath.Join(c.baseDir, path)
	}
	data, err := c.read(full)
	switch {
	case err != nil:
		c.addError(field, "cannot read the file: %v", err)
	case len(data) == 0:
		c.addError(field, "%s is empty", path)
	default:
		return data
	}
	return nil
}

// readSecretFile returns the content of a file without one trailing LF, CRLF or CR.
// It records an error if nothing remains.
func (c *checker) readSecretFile(field, path string) Secret {
	data := c.readFile(field, path)
	text := strings.TrimSuffix(strings.TrimSuffix(string(data), "\n"), "\r")
	if data != nil && text == "" {
		c.addError(field, "%s holds an empty line", path)
	}
	return Secret(text)
}

// checkTLS loads the certificate if both of its files are set.
func (c *checker) checkTLS(t *TLS) {
	switch {
	case t.CertificateFile == "" && t.KeyFile == "":
		return
	case t.CertificateFile == "":
		c.addError("tls", "tls.certificate_file is missing; tls needs both files")
		return
	case t.KeyFile == "":
		c.addError("tls", "tls.key_file is missing; tls needs both files")
		return
	}
	certificate := c.readFile("tls.certificate_file", t.CertificateFile)
	key := c.readFile("tls.key_file", t.KeyFile)
	if certificate == nil || key == nil {
		return
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		c.addError("tls.certificate_file", "the certificate and its key cannot be used: %v", err)
		return
	}
	t.Certificate = &pair
}
