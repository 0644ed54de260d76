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

// table prints rows of cells in columns.
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

func (t *table) end() error {
	t.row()
	if t.err != nil {
		return t.err
	}
	return t.w.Flush()
}

// print prints the results side by side, then each customer's.
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
	rep.row(t, "measure", func(r *Result) string { return r.Variant })
	rep.row(t, "jobs offered", func(r *Result) string { return fmt.Sprint(r.Offered) })
	rep.row(t, "reads served by replicas", func(r *Result) string { return percent(r.ReadsOnReplicas) })
	rep.row(t, "worst customer: goodput", func(r *Result) string {
		return fmt.Sprintf("%s %s (median %s)", percent(r.Worst.Goodput), r.Worst.Customer, percent(r.Worst.MedianGoodput))
	})
	rep.row(t, "worst customer: p99", func(r *Result) string {
		return fmt.Sprintf("%s %s (median %s)", ms(r.Worst.P99), r.Worst.P99Customer, ms(r.Worst.MedianP99))
	})
	rep.row(t, "refused inside the rate", func(r *Result) string {
		return fmt.Sprintf("%d of %d%s", r.RefusedInside, r.RequestsInside, list(r.RefusedInsideBy))
	})
	rep.printFailover(t)
	rep.printPhases(t)
	rep.row(t, "errors", func(r *Result) string { return fmt.Sprintf("%d%s", sum(r.Errors), list(r.Errors)) })
	rep.row(t, "session moves", func(r *Result) string { return fmt.Sprint(r.Moves) })
	rep.row(t, "VM warnings", func(r *Result) string { return fmt.Sprintf("%d%s", sum(r.Warnings), list(r.Warnings)) })
	rep.printChecks(t)
	return t.end()
}

func (rep *Report) row(t *table, name string, cell func(r *Result) string) {
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
	rep.row(t, "failovers (unended)", func(r *Result) string {
		return fmt.Sprintf("%d (%d)", r.Failover.Failovers, r.Failover.Unended)
	})
	rep.row(t, "failover gap p50 / p99 / worst", func(r *Result) string {
		return fmt.Sprintf("%s / %s / %s", ms(r.Failover.P50), ms(r.Failover.P99), ms(r.Failover.Worst))
	})
	rep.row(t, "worst gap by fault", func(r *Result) string {
		var parts []string
		for _, k := range slices.Sorted(maps.Keys(r.Failover.ByKind)) {
			parts = append(parts, k+" "+ms(r.Failover.ByKind[k]))
		}
		return strings.Join(parts, ", ")
	})
}

func (rep *Report) printPhases(t *table) {
	for i, p := range rep.Results[0].Phases {
		rep.row(t, "service: "+p.Name, func(r *Result) string {
			if i >= len(r.Phases) {
				return "-"
			}
			return fmt.Sprintf("%s of %d", percent(r.Phases[i].InTime), r.Phases[i].Offered)
		})
	}
}

func (rep *Report) printChecks(t *table) {
	for i, c := range rep.Results[0].Checks {
		rep.row(t, "check: "+c.Name, func(r *Result) string {
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
		t.row(c.Name, fmt.Sprint(c.Rate), fmt.Sprint(c.Offered), percent(c.InTime), percent(c.Goodput), ms(c.P50), ms(c.P99), ms(c.Max),
			fmt.Sprint(c.Refused), fmt.Sprint(c.Unknown), fmt.Sprint(c.Other))
	}
	if err := t.end(); err != nil {
		return err
	}
	t = newTable(w)
	t.row("kind", "answered", "p50", "p99", "max")
	for _, k := range r.Kinds {
		t.row(k.Name, fmt.Sprint(k.Answered), ms(k.P50), ms(k.P99), ms(k.Max))
	}
	return t.end()
}

func percent(v float64) string { return fmt.Sprintf("%.2f %%", 100*v) }

func ms(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }

func micros(d time.Duration) string { return fmt.Sprintf("%.0f µs", float64(d.Nanoseconds())/1000) }

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// list returns the counts in brackets; nothing if there are none.
func list(counts map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", k, counts[k]))
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}
