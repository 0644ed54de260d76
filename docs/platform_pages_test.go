package docs

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against log lines on the operations page that the program does not
// print any more.
func TestOperationsPageShowsRealLines(t *testing.T) {
	page, err := os.ReadFile("OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	sources := goSources(t, "..")
	lines := 0
	for line := range strings.Lines(string(page)) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, `{"fields"`) {
			continue
		}
		lines++
		var entry struct {
			Fields  map[string]any
			Message string
		}
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Errorf("%v: %s", err, line)
			continue
		}
		if !strings.Contains(sources, `"`+entry.Message+`"`) {
			t.Errorf("no part logs %q", entry.Message)
		}
		for field := range entry.Fields {
			if !strings.Contains(sources, `"`+field+`"`) {
				t.Errorf("no part logs the field %q", field)
			}
		}
	}
	if lines < 6 {
		t.Errorf("the page shows %d lines", lines)
	}
}

// platformNames are words of the users' platform that only its adapter knows.
var platformNames = regexp.MustCompile(`databaseName|routeKind|apiKeys|maxStalenessMs|coldLeftMs|AFTERLSN|dbRole|ratePerS|txIdleMs|X-Chestnutdyke`)

// Guards against names of the users' platform outside of its adapter.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	walkSources(t, "..", func(path, text string) {
		if strings.HasPrefix(path, "../platform/") || strings.HasSuffix(path, "_test.go") {
			return
		}
		if name := platformNames.FindString(text); name != "" {
			t.Errorf("%s names %s", path, name)
		}
	})
}

func goSources(t *testing.T, root string) string {
	var all strings.Builder
	walkSources(t, root, func(path, text string) {
		if !strings.HasSuffix(path, "_test.go") {
			all.WriteString(text)
		}
	})
	return all.String()
}

func walkSources(t *testing.T, root string, f func(path, text string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		b, err := os.ReadFile(path)
		f(path, string(b))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
