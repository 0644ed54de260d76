package ctl

import (
	"bytes"
	"encoding/json"
	"io/fs"
	"strings"
	"testing"

	"github.com/chestnutdyke/chestnutdyke/platform"
)

// Guards against a check whose exit code tells scripts the opposite of its findings.
func TestConfigCheck(t *testing.T) {
	files := map[string]string{
		"good.json": `{"version":8,"routes":[],"services":[],"tenants":[]}`,
		"warn.json": `{"version":8,"services":[{"name":"s","maxConns":9}]}`,
		"bad.json":  `{"version":8,"services":[{"name":"s","maxConns":-9}]}`,
		"old.json":  `{"version":8}`,
		"text.json": `{"version":8,`,
	}
	run := func(args ...string) (int, string) {
		var out, errs bytes.Buffer
		env := Env{Stdout: &out, Stderr: &errs, ReadFile: func(path string) ([]byte, error) {
			if text, ok := files[path]; ok {
				return []byte(text), nil
			}
			return nil, fs.ErrNotExist
		}}
		code := Run(t.Context(), env, append([]string{"config", "check"}, args...))
		return code, out.String() + errs.String()
	}
	for _, tt := range []struct {
		args string
		code int
		want string
	}{
		{"good.json", ExitOK, "version 8: 0 errors, 0 warnings"},
		{"warn.json", ExitOK, "warn.json: services[0]: s: warning: no route leads to it"},
		{"-strict warn.json", ExitError, "1 warnings"},
		{"-strict good.json", ExitOK, ""},
		{"bad.json", ExitError, "bad.json: services[0]: s: error: service s has a limit of -9 connections"},
		{"text.json", ExitError, "text.json: 1:13: error:"},
		{"-in-force old.json warn.json", ExitError, "VMs ignore version 8"},
		{"-in-force old.json warn.json", ExitError, "added services s"},
		{"-in-force missing.json good.json", ExitError, "the version in force cannot be read"},
		{"missing.json", ExitError, "the configuration cannot be read"},
		{"", ExitUsage, "expected one file"},
	} {
		if code, out := run(strings.Fields(tt.args)...); code != tt.code || !strings.Contains(out, tt.want) {
			t.Errorf("config check %s: exit code %d, want %d with %q:\n%s", tt.args, code, tt.code, tt.want, out)
		}
	}
	code, out := run("-json", "bad.json")
	var r platform.CheckReport
	if err := json.Unmarshal([]byte(out), &r); err != nil || code != ExitError || r.Errors != 1 || r.Problems[0].Location != "services[0]" {
		t.Errorf("JSON output with exit code %d: %v %s", code, err, out)
	}
}
