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

// logText is a log handler that keeps all entries with their fields.
type logText struct {
	mu   sync.Mutex // guards text
	text strings.Builder
}

// HandleLog implements log.Handler.
func (l *logText) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(&l.text, "%s %s %+v\n", e.Level, e.Message, e.Fields)
	return nil
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// observed is everything that leaves the VMs other than to clients.
type observed struct {
	logs    logText
	spans   *tracetest.InMemoryExporter
	metrics *telemetry.Metrics
}

// options makes the VMs report to o.
func (o *observed) options() fleet.Options {
	o.spans = tracetest.NewInMemoryExporter()
	provider := trace.NewTracerProvider(trace.WithSyncer(o.spans))
	o.metrics = telemetry.NewMetrics(&log.Logger{Handler: &o.logs})
	return fleet.Options{
		Logger: &log.Logger{Handler: &o.logs, Level: log.DebugLevel},
		Scope:  o.metrics.Scope,
		Adjust: func(v *chestnutdyke.Options) { v.Tracer = provider.Tracer("test") },
	}
}

// texts returns what was observed, by name.
func (o *observed) texts(w *world) map[string]string {
	w.t.Helper()
	if err := o.metrics.Close(); err != nil {
		w.t.Error(err)
	}
	scrape := httptest.NewRecorder()
	o.metrics.Handler.ServeHTTP(scrape, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var spans strings.Builder
	for _, s := range o.spans.GetSpans() {
		fmt.Fprintf(&spans, "%s %v %v %v\n", s.Name, s.Attributes, s.Events, s.Status)
	}
	var startups strings.Builder
	for _, g := range w.fleet.Groups {
		for _, s := range g.Startups() {
			fmt.Fprintf(&startups, "%+v\n", s)
		}
	}
	return map[string]string{
		"logs": o.logs.String(), "metrics": scrape.Body.String(), "traces": spans.String(),
		"start-up messages at backend servers": startups.String(),
		"bytes sent to backend servers":        string(w.tap.bytesSent()),
	}
}

// Guards against a client's key, or anything that it can be recognised by, in
// what backend servers see, in logs, in metrics and in traces.
func TestKeyIsNowhereElse(t *testing.T) {
	p := fleet.Fes()
	var o observed
	inWorldOptions(t, p, o.options, func(w *world) {
		c := large(p).Name
		w.tap.keepEverything()
		l := w.start(&load{customer: c, rate: 100, sql: func(n string) string {
			return fmt.Sprintf("APPEND log 'load/%s/%s'", c, n)
		}})
		time.Sleep(2 * time.Second)
		if _, err := w.connectWith(c, fleet.Key(c)+"-mistyped", p.Groups[0], 0); err == nil {
			t.Error("a mistyped key was accepted")
		}
		if _, err := w.connectWith(c, fleet.Key(c), "nowhere", 0); err == nil {
			t.Error("an unknown route was accepted")
		}
		w.apply("The key is revoked.", setKeys(c, "-"+fleet.Key(c), "second-key"))
		w.fleet.Groups[p.Groups[0]].Primary().Stop()
		time.Sleep(3 * time.Second)
		l.finish()
		w.searchFor(fleet.Key(c), o.texts(w))
	})
}

// searchFor fails the test if a text holds the key, its hash, or an encoding of
// one of them, or is empty, which would say nothing.
func (w *world) searchFor(key string, texts map[string]string) {
	w.t.Helper()
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
		w.t.Logf("%s: %d bytes", where, len(text))
		if text == "" {
			w.t.Errorf("%s: nothing was observed", where)
		}
		for what, form := range forms {
			if bytes.Contains([]byte(text), []byte(form)) {
				w.t.Errorf("%s: found %s", where, what)
			}
		}
	}
}

// Guards against a search that finds nothing because it looks in the wrong way.
func TestKeySearchFinds(t *testing.T) {
	var o logText
	logger := &log.Logger{Handler: &o, Level: log.DebugLevel}
	logger.WithField("key", "k-1").WithError(context.Canceled).Debug("a message")
	if !strings.Contains(o.String(), "k-1") || !strings.Contains(o.String(), "canceled") {
		t.Errorf("log text %q", o.String())
	}
}
