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

// Guards against log lines on the operations page whose message or fields no source
// file contains.
func TestOperationsPageLogLines(t *testing.T) {
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
			t.Errorf("no source file contains the log message %q", entry.Message)
		}
		for field := range entry.Fields {
			if !strings.Contains(sources, `"`+field+`"`) {
				t.Errorf("no source file contains the log field %q", field)
			}
		}
	}
	// The lower bound detects that the page's log lines are no longer recognised, for
	// example after a change of their format.
	if lines < 6 {
		t.Errorf("the page shows %d log lines, want at least 6", lines)
	}
}

// platformNames matches identifiers of the users' platform. Only its adapter, the
// folder platform, may contain them.
var platformNames = regexp.MustCompile(`databaseName|routeKind|apiKeys|maxStalenessMs|coldLeftMs|AFTERLSN|dbRole|ratePerS|txIdleMs|X-Chestnutdyke`)

// Guards against names of the users' platform outside of its adapter.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	walkSources(t, "..", func(path, text string) {
		if strings.HasPrefix(path, "../platform/") || strings.HasSuffix(path, "_test.go") {
			return
		}
		if name := platformNames.FindString(text); name != "" {
			t.Errorf("%s contains the platform name %s, which belongs in the folder platform", path, name)
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
