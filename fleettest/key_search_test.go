package fleettest

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/transport/telemetry"
)

// logCapture is a log handler that keeps all entries with their fields as text.
type logCapture struct {
	mu   sync.Mutex // guards text
	text strings.Builder
}

// HandleLog implements log.Handler.
func (l *logCapture) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(&l.text, "%s %s %+v\n", e.Level, e.Message, e.Fields)
	return nil
}

func (l *logCapture) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// capture holds everything that VMs emit, except what they send to clients, other
// VMs and the store.
type capture struct {
	logs    logCapture
	spans   *tracetest.InMemoryExporter
	metrics *telemetry.Metrics
}

// options returns fleet options with which the VMs report to c.
func (c *capture) options() fleet.Options {
	c.spans = tracetest.NewInMemoryExporter()
	provider := trace.NewTracerProvider(trace.WithSyncer(c.spans))
	c.metrics = telemetry.NewMetrics(&log.Logger{Handler: &c.logs})
	return fleet.Options{
		Logger: &log.Logger{Handler: &c.logs, Level: log.DebugLevel},
		Scope:  c.metrics.Scope,
		Adjust: func(v *chestnutdyke.Options) { v.Tracer = provider.Tracer("test") },
	}
}

// texts returns what was captured, by name of the source.
func (c *capture) texts(h *harness) map[string]string {
	h.t.Helper()
	if err := c.metrics.Close(); err != nil {
		h.t.Error(err)
	}
	scrape := httptest.NewRecorder()
	c.metrics.Handler.ServeHTTP(scrape, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var spans strings.Builder
	for _, s := range c.spans.GetSpans() {
		fmt.Fprintf(&spans, "%s %v %v %v\n", s.Name, s.Attributes, s.Events, s.Status)
	}
	var startups strings.Builder
	for _, g := range h.fleet.Groups {
		for _, s := range g.Startups() {
			fmt.Fprintf(&startups, "%+v\n", s)
		}
	}
	return map[string]string{
		"logs": c.logs.String(), "metrics": scrape.Body.String(), "traces": spans.String(),
		"start-up messages at backend servers": startups.String(),
		"bytes sent to backend servers":        string(h.recorder.rawBytes()),
	}
}

// Guards against a client's key, its hash or an encoding of them in what backend
// servers receive, in logs, in metrics and in traces.
func TestKeyIsNotExposed(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	var captured capture
	runWithOptions(t, p, captured.options, func(h *harness) {
		customerName := largeCustomer(p).Name
		h.recorder.keepBytes()
		l := h.startLoad(&load{customer: customerName, rate: 100, sql: func(n string) string {
			return fmt.Sprintf("APPEND log 'load/%s/%s'", customerName, n)
		}})
		time.Sleep(2 * time.Second)
		if _, err := h.connectWithKey(customerName, fleet.Key(customerName)+"-mistyped", p.Groups[0], 0); err == nil {
			t.Error("a mistyped key was accepted")
		}
		if _, err := h.connectWithKey(customerName, fleet.Key(customerName), "nowhere", 0); err == nil {
			t.Error("an unknown route was accepted")
		}
		h.apply("The key is revoked.", setKeys(customerName, "-"+fleet.Key(customerName), "second-key"))
		h.fleet.Groups[p.Groups[0]].Primary().Stop()
		time.Sleep(3 * time.Second)
		l.finish()
		h.checkKeyAbsent(fleet.Key(customerName), captured.texts(h))
	})
}

// checkKeyAbsent fails the test if a text contains the key, its hash or an encoding of
// one of them. An empty text fails the test too, because its search proves nothing.
func (h *harness) checkKeyAbsent(key string, texts map[string]string) {
	h.t.Helper()
	hash := sha256.Sum256([]byte(key))
	forms := map[string]string{
		"the key":           key,
		"the key in base64": base64.StdEncoding.EncodeToString([]byte(key)),
		"the key in hex":    hex.EncodeToString([]byte(key)),
		"its hash":          string(hash[:]),
		"its hash in hex":   hex.EncodeToString(hash[:]),
		"its hash printed":  fmt.Sprint(hash),
	}
	for where, text := range texts {
		h.t.Logf("%s: %d bytes", where, len(text))
		if text == "" {
			h.t.Errorf("%s: nothing was captured", where)
		}
		for what, form := range forms {
			if bytes.Contains([]byte(text), []byte(form)) {
				h.t.Errorf("%s: found %s", where, what)
			}
		}
	}
}

// Guards against a search of logs that cannot find a key because the captured text
// lacks fields or errors.
func TestLogCaptureKeepsFieldsAndErrors(t *testing.T) {
	var captured logCapture
	logger := &log.Logger{Handler: &captured, Level: log.DebugLevel}
	logger.WithField("key", "k-1").WithError(context.Canceled).Debug("a message")
	if !strings.Contains(captured.String(), "k-1") || !strings.Contains(captured.String(), "canceled") {
		t.Errorf("log text %q", captured.String())
	}
}
