package ctl

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/adminapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// heardLately is the longest time since a VM was heard by another one for it to
// count as live. The exchange reaches every VM within a few seconds.
const heardLately = 10 * time.Second

// report is the state of a ticket in the fleet, as printed with -json.
type report struct {
	Ticket      uint64             `json:"ticket"`
	Operator    string             `json:"operator,omitempty"`
	Time        *time.Time         `json:"time,omitempty"`
	StoreError  string             `json:"store_error,omitempty"` // why the store was not read
	DataCentres []dataCentreReport `json:"data_centres"`
	Lagging     []vmReport         `json:"lagging"`
	Silent      []vmReport         `json:"silent"`
	VMs         []adminapi.Status  `json:"vms,omitempty"`
}

// dataCentreReport is the state of a ticket in one data centre.
type dataCentreReport struct {
	Name    string `json:"name"`
	Lowest  uint64 `json:"lowest"`  // lowest ticket applied by a live VM
	Highest uint64 `json:"highest"` // highest one
	VMs     int    `json:"vms"`     // in service
	Applied int    `json:"applied"` // of them with the ticket applied
	Lagging int    `json:"lagging"`
	Silent  int    `json:"silent"`
}

// vmReport is a VM that has not applied the ticket or is not heard.
type vmReport struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Applied    uint64 `json:"applied"` // as far as known
	Reason     string `json:"reason,omitempty"`
}

// newReport compares the answers of the VMs with the ticket. Number zero takes
// the highest ticket that a VM has in force.
func newReport(number uint64, answers []answer) *report {
	r := &report{Ticket: number, Lagging: []vmReport{}, Silent: []vmReport{}}
	if number == 0 {
		r.Ticket = highestTicket(answers)
	}
	heard := heardMembers(answers)
	centres := make(map[string]*dataCentreReport)
	for _, a := range answers {
		dc := centres[a.vm.DataCentre]
		if dc == nil {
			dc = &dataCentreReport{Name: a.vm.DataCentre}
			centres[a.vm.DataCentre] = dc
		}
		r.add(dc, a, heard)
	}
	for _, name := range slices.Sorted(maps.Keys(centres)) {
		r.DataCentres = append(r.DataCentres, *centres[name])
	}
	return r
}

// add counts one VM. A leaving VM may end at any time, so its silence is no news.
func (r *report) add(dc *dataCentreReport, a answer, heard map[string]adminapi.Member) {
	applied, live := appliedBy(a, heard)
	if !live && a.vm.State == state.Leaving {
		return
	}
	dc.VMs++
	entry := vmReport{Name: a.vm.Name, DataCentre: a.vm.DataCentre, Applied: applied}
	if a.err != nil {
		entry.Reason = a.err.Error()
	}
	if !live {
		dc.Silent++
		r.Silent = append(r.Silent, entry)
		return
	}
	if dc.Applied+dc.Lagging == 0 {
		dc.Lowest = applied
	}
	dc.Lowest, dc.Highest = min(dc.Lowest, applied), max(dc.Highest, applied)
	if applied >= r.Ticket {
		dc.Applied++
		return
	}
	dc.Lagging++
	r.Lagging = append(r.Lagging, entry)
}

// appliedBy returns the ticket that a VM has applied, and whether the VM is
// live: it answered, or another VM heard it lately.
func appliedBy(a answer, heard map[string]adminapi.Member) (applied uint64, live bool) {
	if a.status != nil {
		return a.status.Config.Applied, true
	}
	m, known := heard[a.vm.Name]
	return m.Applied, known && m.Age <= heardLately
}

// heardMembers returns the latest that the answering VMs heard of each VM.
func heardMembers(answers []answer) map[string]adminapi.Member {
	heard := make(map[string]adminapi.Member)
	for _, a := range answers {
		if a.status == nil {
			continue
		}
		for _, m := range a.status.Members {
			if known, ok := heard[m.Name]; !ok || m.Age < known.Age {
				heard[m.Name] = m
			}
		}
	}
	return heard
}

func highestTicket(answers []answer) uint64 {
	var highest uint64
	for _, a := range answers {
		if a.status != nil {
			highest = max(highest, a.status.Config.Ticket)
		}
	}
	return highest
}

// groupRow is the newest view of a group.
type groupRow struct {
	adminapi.Group
	Agree int // VMs that have this view
	Views int // VMs that have any view
}

// groupRows returns the view with the highest term of each group.
func groupRows(statuses []adminapi.Status) []groupRow {
	rows := make(map[string]groupRow)
	for _, s := range statuses {
		for _, g := range s.Groups {
			row := rows[g.Name]
			switch {
			case row.Views == 0 || g.Term > row.Term:
				row.Group, row.Agree = g, 1
			case g == row.Group:
				row.Agree++
			}
			row.Views++
			rows[g.Name] = row
		}
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b groupRow) int { return cmp.Compare(a.Name, b.Name) })
}

// shareRows adds up the shares of each customer over the VMs.
func shareRows(statuses []adminapi.Status) []adminapi.Share {
	rows := make(map[string]adminapi.Share)
	for _, s := range statuses {
		for _, share := range s.Shares {
			sum := rows[share.Customer]
			sum.Customer = share.Customer
			sum.Rate += share.Rate
			sum.Burst += share.Burst
			sum.Tokens += share.Tokens
			sum.Lent += share.Lent
			sum.Borrowed += share.Borrowed
			sum.Demand += share.Demand
			rows[share.Customer] = sum
		}
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b adminapi.Share) int { return cmp.Compare(a.Customer, b.Customer) })
}
