package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/protocol/yamldoc"
)

const validSettings = `vm: fes-a1
data_centre: medina
addresses:
  clients: :5432
  peers: 10.1.0.21:7000
  admin: 10.1.0.21:7001
fleet_secret:
  file: fleet.secret
store: 10.1.0.5:8080
backend:
  user: proxy
  password_file: backend.password
`

// readTestFile is a ReadFile with the files of an invented folder /etc/cd.
func readTestFile(path string) ([]byte, error) {
	content := map[string]string{
		"/etc/cd/fleet.secret":     "0123456789abcdef\n",
		"/etc/cd/backend.password": "s3cret\r\n",
		"/etc/cd/short":            "abc",
		"/etc/cd/line":             "\n",
		"/etc/cd/empty":            "",
		"/etc/cd/cert.pem":         "no certificate",
	}
	data, ok := content[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return []byte(data), nil
}

func parse(text string) (*Settings, error) {
	return Parse("/etc/cd/settings.yaml", []byte(text), readTestFile)
}

// Guards against defaults that differ from their documentation, and against
// secrets that include the trailing newline of their file.
func TestDefaults(t *testing.T) {
	s, err := parse(validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.Advertise != "10.1.0.21:7000" || s.Limits.Sessions != 4096 || s.Limits.DefaultDeadline != 5*time.Second {
		t.Errorf("wrong defaults: %+v", s)
	}
	if s.FleetSecret.Value != "0123456789abcdef" || s.Backend.Password != "s3cret" {
		t.Errorf("got secrets %q and %q", s.FleetSecret.Value.Bytes(), s.Backend.Password.Bytes())
	}
}

// Guards against resolving relative paths against the working directory instead
// of the folder of the settings file.
func TestLoad(t *testing.T) {
	folder := t.TempDir()
	for name, content := range map[string]string{"settings.yaml": validSettings, "fleet.secret": "0123456789abcdef", "backend.password": "s3cret"} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, err := Load(filepath.Join(folder, "settings.yaml"))
	if err != nil || string(s.Backend.Password.Bytes()) != "s3cret" {
		t.Errorf("got %v, %v", s, err)
	}
	if _, err := Load(filepath.Join(folder, "none.yaml")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("got error %v", err)
	}
}

// Guards against invalid settings that are accepted, and against errors that are
// reported without their line or one at a time.
func TestErrorsHaveLines(t *testing.T) {
	replace := func(old, with string) string { return strings.Replace(validSettings, old, with, 1) }
	tests := map[string]struct {
		text string
		want []string
	}{
		"empty file":           {"", []string{"0: the file is empty"}},
		"no YAML":              {"vm: [a", []string{"1: did not find expected ',' or ']'"}},
		"unknown field":        {validSettings + "colour: red\n", []string{"13: unknown field \"colour\""}},
		"unknown nested field": {replace("  user: proxy", "  user: proxy\n  pasword: x"), []string{"12: unknown field \"pasword\"; the fields here are user, password_file"}},
		"repeated field":       {validSettings + "vm: other\n", []string{"13: \"vm\" is already defined at line 1"}},
		"two documents":        {validSettings + "---\nvm: x\n", []string{"13: the file must hold one YAML document"}},
		"alias":                {validSettings + "seeds: &a [{vm: b, address: 10.0.0.1:1}]\n", []string{"13: anchors and aliases are not supported"}},
		"wrong type":           {validSettings + "workers: many\n", []string{"13: expected a whole number, found \"many\""}},
		"fraction":             {validSettings + "workers: 1.5\n", []string{"13: expected a whole number, found \"1.5\""}},
		"empty value":          {validSettings + "workers:\n", []string{"13: the value is missing"}},
		"list for fields":      {validSettings + "limits: [1]\n", []string{"13: expected fields, found a list"}},
		"duration without unit": {validSettings + "limits:\n  default_deadline: 5\n",
			[]string{"14: expected a duration such as 250ms or 10s, found \"5\""}},
		"zero and negative limits": {validSettings + "limits:\n  sessions: 0\n  session_queue: -1\n  server_waiters: -5\n  default_deadline: 0s\nworkers: -2\n",
			[]string{"14: limits.sessions must be above zero, not 0", "15: limits.session_queue",
				"16: limits.server_waiters", "17: limits.default_deadline must be above zero, not 0s", "18: workers"}},
		"missing name":       {replace("vm: fes-a1\n", ""), []string{"1: vm: the name is missing"}},
		"bad name":           {replace("fes-a1", "fès"), []string{"1: vm: the name \"fès\" contains"}},
		"no port":            {replace("10.1.0.5:8080", "10.1.0.5"), []string{"9: store: the address \"10.1.0.5\" has no port"}},
		"port out of range":  {replace("10.1.0.5:8080", "10.1.0.5:80800"), []string{"9: store: the address \"10.1.0.5:80800\" has the port"}},
		"no IP address":      {replace("10.1.0.5:8080", "10.1.0.256:80"), []string{"9: store: the address \"10.1.0.256:80\" has the host"}},
		"same address twice": {replace("10.1.0.21:7001", "10.1.0.21:7000"), []string{"6: addresses.admin is the same"}},
		"advertise without host": {replace("10.1.0.21:7000", ":7000"),
			[]string{"1: advertise must name the host"}},
		"seeds":                 {validSettings + "seeds:\n  - {vm: b, address: 10.0.0.1:1}\n  - {vm: c, address: 10.0.0.1}\n  - {vm: d, address: 10.0.0.1:1}\n  - {address: 10.0.0.2:1}\n", []string{"15: seeds: the address", "16: seeds: 10.0.0.1:1 appears twice", "17: seeds: "}},
		"missing file":          {replace("fleet.secret", "nowhere"), []string{"8: cannot read the file: file does not exist"}},
		"empty file named":      {replace("backend.password", "empty"), []string{"12: empty is empty"}},
		"file of an empty line": {replace("backend.password", "line"), []string{"12: line holds an empty line"}},
		"short secret":          {replace("fleet.secret", "short"), []string{"7: fleet_secret has 3 bytes; at least 16"}},
		"no secret":             {replace("  file: fleet.secret\n", ""), []string{"7: fleet_secret is missing"}},
		"two secrets":           {replace("fleet.secret", "fleet.secret\n  inline: 0123456789abcdef"), []string{"7: fleet_secret has both"}},
		"half of TLS":           {validSettings + "tls:\n  key_file: cert.pem\n", []string{"13: tls.certificate_file is missing"}},
		"bad certificate":       {validSettings + "tls:\n  certificate_file: cert.pem\n  key_file: cert.pem\n", []string{"14: the certificate and its key cannot be used"}},
		"unknown choices": {validSettings + "log:\n  level: loud\n  format: xml\ntrace:\n  exporter: x\n",
			[]string{"14: log.level must be one of", "15: log.format must be one of", "17: trace.exporter must be one of"}},
		"exporter without endpoint": {validSettings + "trace:\n  exporter: otlp\n", []string{"13: trace.endpoint is required"}},
		"endpoint without exporter": {validSettings + "trace:\n  endpoint: 10.0.0.1:4318\n", []string{"14: trace.endpoint is used by"}},
		"errors of both kinds":      {"vm: a\nworkers: x\nstore: y\ncolour: red\n", []string{"1: data_centre: the name is missing", "1: addresses.clients", "1: addresses.peers", "1: addresses.admin", "1: fleet_secret", "1: backend.user", "2: expected a whole number", "3: store: the address \"y\" has no port", "4: unknown field"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := parse(test.text)
			var errs *yamldoc.Errors
			if !errors.As(err, &errs) {
				t.Fatalf("got error %v, want a *yamldoc.Errors", err)
			}
			for i, p := range errs.Problems {
				got := fmt.Sprintf("%d: %s", p.Line, p.Text)
				if i >= len(test.want) || !strings.HasPrefix(got, test.want[i]) {
					t.Errorf("error %d is %q; want %q", i, got, test.want)
				}
			}
			if len(errs.Problems) < len(test.want) {
				t.Errorf("got %d errors:\n%v\nwant %q", len(errs.Problems), err, test.want)
			}
		})
	}
}

// Guards against secrets that appear in logs, traces and error reports.
func TestSecretsAreNotPrinted(t *testing.T) {
	s, err := parse(strings.Replace(validSettings, "file: fleet.secret", "inline: 0123456789abcdef", 1))
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{fmt.Sprintf("%v %+v %#v %s %q %x", s, s, s, s.FleetSecret.Inline, s.FleetSecret.Value, s.Backend.Password), string(encoded)} {
		for _, secret := range []string{"0123456789abcdef", "s3cret", fmt.Sprintf("%x", "s3cret")} {
			if strings.Contains(text, secret) {
				t.Errorf("%q appears in %s", secret, text)
			}
		}
	}
}

// Guards against a reference that differs from the code: missing fields, fields
// that do not exist, and wrong defaults.
func TestReferenceMatchesSettings(t *testing.T) {
	var want []ReferenceRow
	collectRows(reflect.ValueOf(*Defaults()), "", &want)
	var got []ReferenceRow
	for _, r := range Reference() {
		if r.Description == "" || r.Type == "" {
			t.Errorf("%s has no type or meaning", r.Name)
		}
		if r.Default == required || r.Default == "none" || r.Name == "advertise" {
			r.Default = ""
		}
		if r.Name == "workers" {
			r.Default = fmt.Sprint(Defaults().Workers)
		}
		got = append(got, ReferenceRow{Name: r.Name, Default: r.Default})
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reference differs from the fields (-fields +reference):\n%s", diff)
	}
}

func collectRows(v reflect.Value, prefix string, rows *[]ReferenceRow) {
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("yaml")
		switch {
		case name == "-":
		case v.Field(i).Kind() == reflect.Struct:
			collectRows(v.Field(i), prefix+name+".", rows)
		default:
			value := ""
			if f := v.Field(i); !f.IsZero() || f.Kind() == reflect.Bool {
				value = strings.TrimSuffix(fmt.Sprint(f.Interface()), "none")
			}
			*rows = append(*rows, ReferenceRow{Name: prefix + name, Default: value})
		}
	}
}

// Guards against doc comments whose default differs from the reference.
func TestDocCommentsStateDefaults(t *testing.T) {
	source, err := os.ReadFile("settings.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range Reference() {
		field := r.Name[strings.LastIndexByte(r.Name, '.')+1:]
		before, _, found := strings.Cut(string(source), fmt.Sprintf("`yaml:%q`", field))
		if !found {
			t.Errorf("no field %s", r.Name)
			continue
		}
		lines := strings.Split(before, "\n")
		comment := ""
		for i := len(lines) - 2; i >= 0 && strings.HasPrefix(lines[i], "\t//"); i-- {
			comment = strings.TrimPrefix(lines[i], "\t//") + comment
		}
		if stated := strings.Contains(comment, "Default "+r.Default); stated == (r.Default == required) {
			t.Errorf("%s: the reference says %q, the comment %q", r.Name, r.Default, comment)
		}
	}
}
