package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// table prints rows of cells in aligned columns. It keeps the first write error
// until flush.
type table struct {
	w   *tabwriter.Writer
	err error
}

func newTable(w io.Writer) *table {
	return &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
}

func (t *table) row(cells ...string) {
	if t.err == nil {
		_, t.err = fmt.Fprintln(t.w, strings.Join(cells, "\t"))
	}
}

// flush ends the table with an empty line and writes it.
func (t *table) flush() error {
	t.row()
	if t.err != nil {
		return t.err
	}
	return t.w.Flush()
}

// print prints the measures of all variants side by side, then the customers of
// each variant.
func (rep *Report) print(w io.Writer) error {
	fmt.Fprintf(w, "%s, %s, %v, seed %d, machine load %s on %d CPUs\n\n",
		rep.Profile, rep.Scenario, rep.Duration, rep.Seed, rep.Machine.Load, rep.Machine.CPUs)
	if err := rep.printMeasures(w); err != nil {
		return err
	}
	for _, r := range rep.Results {
		if err := r.printCustomers(w); err != nil {
			return err
		}
	}
	return nil
}

func (rep *Report) printMeasures(w io.Writer) error {
	t := newTable(w)
	rep.addRow(t, "measure", func(r *Result) string { return r.Variant })
	rep.addRow(t, "jobs offered", func(r *Result) string { return fmt.Sprint(r.Offered) })
	rep.addRow(t, "reads served by replicas", func(r *Result) string { return formatPercent(r.ReadsOnReplicas) })
	rep.addRow(t, "worst customer: goodput", func(r *Result) string {
		return fmt.Sprintf("%s %s (median %s)", formatPercent(r.Worst.Goodput), r.Worst.Customer, formatPercent(r.Worst.MedianGoodput))
	})
	rep.addRow(t, "worst customer: p99", func(r *Result) string {
		return fmt.Sprintf("%s %s (median %s)", formatMillis(r.Worst.P99), r.Worst.P99Customer, formatMillis(r.Worst.MedianP99))
	})
	rep.addRow(t, "refused inside the rate", func(r *Result) string {
		return fmt.Sprintf("%d of %d%s", r.RefusedInside, r.RequestsInside, formatCounts(r.RefusedInsideBy))
	})
	rep.printFailover(t)
	rep.printPhases(t)
	rep.addRow(t, "errors", func(r *Result) string { return fmt.Sprintf("%d%s", sumCounts(r.Errors), formatCounts(r.Errors)) })
	rep.addRow(t, "session moves", func(r *Result) string { return fmt.Sprint(r.Moves) })
	rep.addRow(t, "VM warnings", func(r *Result) string { return fmt.Sprintf("%d%s", sumCounts(r.Warnings), formatCounts(r.Warnings)) })
	rep.printChecks(t)
	return t.flush()
}

func (rep *Report) addRow(t *table, name string, cell func(r *Result) string) {
	cells := []string{name}
	for _, r := range rep.Results {
		cells = append(cells, cell(r))
	}
	t.row(cells...)
}

func (rep *Report) printFailover(t *table) {
	if rep.Results[0].Failover == nil {
		return
	}
	rep.addRow(t, "failovers (unended)", func(r *Result) string {
		return fmt.Sprintf("%d (%d)", r.Failover.Failovers, r.Failover.Unended)
	})
	rep.addRow(t, "failover gap p50 / p99 / worst", func(r *Result) string {
		return fmt.Sprintf("%s / %s / %s", formatMillis(r.Failover.P50), formatMillis(r.Failover.P99), formatMillis(r.Failover.Worst))
	})
	rep.addRow(t, "worst gap by fault", func(r *Result) string {
		var parts []string
		for _, k := range slices.Sorted(maps.Keys(r.Failover.ByKind)) {
			parts = append(parts, k+" "+formatMillis(r.Failover.ByKind[k]))
		}
		return strings.Join(parts, ", ")
	})
}

func (rep *Report) printPhases(t *table) {
	for i, p := range rep.Results[0].Phases {
		rep.addRow(t, "service: "+p.Name, func(r *Result) string {
			if i >= len(r.Phases) {
				return "-"
			}
			return fmt.Sprintf("%s of %d", formatPercent(r.Phases[i].InTime), r.Phases[i].Offered)
		})
	}
}

func (rep *Report) printChecks(t *table) {
	for i, c := range rep.Results[0].Checks {
		rep.addRow(t, "check: "+c.Name, func(r *Result) string {
			c := r.Checks[i]
			switch {
			case c.NotChecked != "":
				return "not checked: " + c.NotChecked
			case c.Breaks > 0:
				return fmt.Sprintf("%d BROKEN (%s)", c.Breaks, c.First)
			}
			return "0"
		})
	}
}

func (r *Result) printCustomers(w io.Writer) error {
	fmt.Fprintf(w, "customers, %s\n", r.Variant)
	t := newTable(w)
	t.row("customer", "rate/s", "offered", "in time", "goodput", "p50", "p99", "max", "refused", "unknown", "other")
	for _, c := range r.Customers {
		t.row(c.Name, fmt.Sprint(c.Rate), fmt.Sprint(c.Offered), formatPercent(c.InTime), formatPercent(c.Goodput), formatMillis(c.P50), formatMillis(c.P99), formatMillis(c.Max),
			fmt.Sprint(c.Refused), fmt.Sprint(c.Unknown), fmt.Sprint(c.Other))
	}
	if err := t.flush(); err != nil {
		return err
	}
	t = newTable(w)
	t.row("kind", "answered", "p50", "p99", "max")
	for _, k := range r.Kinds {
		t.row(k.Name, fmt.Sprint(k.Answered), formatMillis(k.P50), formatMillis(k.P99), formatMillis(k.Max))
	}
	return t.flush()
}

func formatPercent(v float64) string { return fmt.Sprintf("%.2f %%", 100*v) }

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000)
}

func formatMicros(d time.Duration) string {
	return fmt.Sprintf("%.0f µs", float64(d.Nanoseconds())/1000)
}

func sumCounts(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// formatCounts returns the counts in parentheses, or an empty string without counts.
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", k, counts[k]))
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}
