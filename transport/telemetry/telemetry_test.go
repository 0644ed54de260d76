package telemetry

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against metrics whose names the reporter rejects. They used to
// terminate the process at startup.
func TestMetricsAreShown(t *testing.T) {
	logger, err := NewLogger("info", "json", &bytes.Buffer{})
	if err != nil {
		t.Fatal(err)
	}
	m := NewMetrics(logger)
	m.Scope.SubScope("peer").Tagged(map[string]string{"kind": "lease"}).Counter("bytes").Inc(3)
	m.Scope.Timer("step").Record(time.Second)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRecorder()
	m.Handler.ServeHTTP(r, httptest.NewRequest("GET", "/metrics", nil))
	if want := `chestnutdyke_peer_bytes{kind="lease"} 3`; !strings.Contains(r.Body.String(), want) {
		t.Errorf("metrics lack %s:\n%s", want, r.Body)
	}
}

// Guards against unknown log settings that are silently ignored.
func TestUnknownLogSettingsAreRefused(t *testing.T) {
	for _, tt := range [][2]string{{"loud", "text"}, {"info", "xml"}} {
		if _, err := NewLogger(tt[0], tt[1], &bytes.Buffer{}); err == nil {
			t.Errorf("level %s and format %s were accepted", tt[0], tt[1])
		}
	}
}
