// Package telemetry creates the logger, the metrics and the tracer of a VM.
package telemetry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// reportInterval is how often metrics are passed to the reporter.
const reportInterval = time.Second

// NewLogger returns a logger that writes to w. level is debug, info, warn or
// error, format is text or json.
func NewLogger(level, format string, w io.Writer) (log.Interface, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, eris.Errorf("unknown log level %q", level)
	}
	switch format {
	case "text":
		return &log.Logger{Handler: text.New(w), Level: l}, nil
	case "json":
		return &log.Logger{Handler: json.New(w), Level: l}, nil
	}
	return nil, eris.Errorf("unknown log format %q", format)
}

// Metrics holds the metrics of a VM.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // serves the Prometheus text format
	closer  io.Closer
}

// NewMetrics returns metrics with the name prefix chestnutdyke_.
func NewMetrics(logger log.Interface) *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{
		// The default handler panics.
		OnRegisterError: func(err error) { logger.WithError(err).Error("metrics: metric was not registered.") },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "chestnutdyke",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the metrics that have not been reported yet.
func (m *Metrics) Close() error { return m.closer.Close() }

// NewTracer returns the VM's tracer and a function that exports the remaining
// spans and stops the exporter. exporter is none, stdout or otlp; with otlp,
// endpoint is the host:port of the receiver.
func NewTracer(ctx context.Context, exporter, endpoint, vm string, stdout io.Writer) (trace.Tracer, func(context.Context) error, error) {
	const name = "github.com/chestnutdyke/chestnutdyke"
	var e sdktrace.SpanExporter
	var err error
	switch exporter {
	case "none":
		none := func(context.Context) error { return nil }
		return noop.NewTracerProvider().Tracer(name), none, nil
	case "stdout":
		e, err = stdouttrace.New(stdouttrace.WithWriter(stdout))
	case "otlp":
		e, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(endpoint), otlptracehttp.WithInsecure())
	default:
		return nil, nil, eris.Errorf("unknown trace exporter %q", exporter)
	}
	if err != nil {
		return nil, nil, eris.Wrapf(err, "trace exporter %s", exporter)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(e),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "chestnutdyke"),
			attribute.String("service.instance.id", vm),
		)),
	)
	return provider.Tracer(name), provider.Shutdown, nil
}
