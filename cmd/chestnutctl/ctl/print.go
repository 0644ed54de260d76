package ctl

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/adminapi"
)

func printTicket(env Env, r *report) {
	if r.StoreError != "" {
		env.errorf("warning: the store was not read: %s", r.StoreError)
	}
	env.printf("ticket %d", r.Ticket)
	if r.Time != nil {
		env.printf(" of %s, %s", r.Operator, r.Time.Format(time.RFC3339))
	}
	env.printf("\n\n")
	printTable(env, "data centre\tin force\tapplied\tlagging\tsilent", func(row func(string, ...any)) {
		for _, dc := range r.DataCentres {
			inForce := fmt.Sprint(dc.Lowest)
			if dc.Highest != dc.Lowest {
				inForce = fmt.Sprintf("%d to %d", dc.Lowest, dc.Highest)
			}
			if dc.VMs == dc.Silent {
				inForce = "unknown"
			}
			row("%s\t%s\t%d of %d\t%d\t%d", dc.Name, inForce, dc.Applied, dc.VMs, dc.Lagging, dc.Silent)
		}
	})
	for _, vm := range r.Lagging {
		env.printf("lagging: %s in %s has applied ticket %d%s\n", vm.Name, vm.DataCentre, vm.Applied, reasonSuffix(vm.Reason))
	}
	for _, vm := range r.Silent {
		env.printf("silent: %s in %s%s\n", vm.Name, vm.DataCentre, reasonSuffix(vm.Reason))
	}
}

func reasonSuffix(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}

func printVMs(env Env, vms []adminapi.Status) {
	env.printf("\n")
	printTable(env, "VM\tdata centre\tstate\tapplied\tconfirmed\tstore\tsessions\tin transaction\twaiting", func(row func(string, ...any)) {
		for _, s := range vms {
			confirmed := "never"
			if s.Config.Confirmed {
				confirmed = s.Config.Age.Round(time.Millisecond).String() + " ago"
			}
			store := "not reached"
			if s.Config.StoreReached {
				store = "reached"
			}
			row("%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d", s.Name, s.DataCentre, s.State, s.Config.Applied, confirmed, store,
				s.Sessions.Open, s.Sessions.InTransaction, s.Sessions.Waiting)
		}
	})
}

func printGroups(env Env, vms []adminapi.Status) {
	rows := groupRows(vms)
	if len(rows) == 0 {
		return
	}
	env.printf("\n")
	printTable(env, "group\tterm\tprimary\tseen by", func(row func(string, ...any)) {
		for _, g := range rows {
			primary := g.Primary
			if primary == "" {
				primary = "unknown"
			}
			row("%s\t%d\t%s\t%d of %d", g.Name, g.Term, primary, g.Agree, g.Views)
		}
	})
}

func printShares(env Env, vms []adminapi.Status) {
	rows := shareRows(vms)
	if len(rows) == 0 {
		return
	}
	env.printf("\n")
	printTable(env, "customer\trate\tburst\ttokens\tlent\tborrowed\tdemand", func(row func(string, ...any)) {
		for _, s := range rows {
			row("%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f", s.Customer, s.Rate, s.Burst, s.Tokens, s.Lent, s.Borrowed, s.Demand)
		}
	})
}

// printTable prints aligned columns. Tabs separate the cells of the header and of
// the row formats.
func printTable(env Env, header string, fill func(row func(format string, cells ...any))) {
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	fill(func(format string, cells ...any) { _, _ = fmt.Fprintf(w, format+"\n", cells...) })
	_ = w.Flush()
}
