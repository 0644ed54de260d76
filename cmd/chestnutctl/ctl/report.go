package ctl

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/adminapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// maxHeardAge is how long ago another VM may have last heard from a VM that still
// counts as live. Messages of a VM reach every other VM within a few seconds.
const maxHeardAge = 10 * time.Second

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
	VMs     int    `json:"vms"`     // VMs that are not out, without those that are leaving and silent
	Applied int    `json:"applied"` // VMs that have applied the ticket
	Lagging int    `json:"lagging"`
	Silent  int    `json:"silent"`
}

// vmReport is a VM that lags or is silent.
type vmReport struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Applied    uint64 `json:"applied"` // latest known
	Reason     string `json:"reason,omitempty"`
}

// newReport compares the responses of the VMs with the ticket of the given number.
// Zero stands for the highest ticket in force on any VM.
func newReport(number uint64, responses []vmResponse) *report {
	r := &report{Ticket: number, Lagging: []vmReport{}, Silent: []vmReport{}}
	if number == 0 {
		r.Ticket = highestTicket(responses)
	}
	latest := latestMembers(responses)
	dataCentres := make(map[string]*dataCentreReport)
	for _, resp := range responses {
		dc := dataCentres[resp.vm.DataCentre]
		if dc == nil {
			dc = &dataCentreReport{Name: resp.vm.DataCentre}
			dataCentres[resp.vm.DataCentre] = dc
		}
		r.addVM(dc, resp, latest)
	}
	for _, name := range slices.Sorted(maps.Keys(dataCentres)) {
		r.DataCentres = append(r.DataCentres, *dataCentres[name])
	}
	return r
}

// addVM counts one VM. A leaving VM that is silent is not counted, because it may
// exit at any time.
func (r *report) addVM(dc *dataCentreReport, resp vmResponse, latest map[string]adminapi.Member) {
	applied, live := appliedTicket(resp, latest)
	if !live && resp.vm.State == state.Leaving {
		return
	}
	dc.VMs++
	entry := vmReport{Name: resp.vm.Name, DataCentre: resp.vm.DataCentre, Applied: applied}
	if resp.err != nil {
		entry.Reason = resp.err.Error()
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

// appliedTicket returns the ticket that a VM has applied, and whether the VM is
// live: it responded, or another VM heard from it within maxHeardAge.
func appliedTicket(resp vmResponse, latest map[string]adminapi.Member) (applied uint64, live bool) {
	if resp.status != nil {
		return resp.status.Config.Applied, true
	}
	m, known := latest[resp.vm.Name]
	return m.Applied, known && m.Age <= maxHeardAge
}

// latestMembers returns, by VM name, the most recent member entry that any VM
// reported.
func latestMembers(responses []vmResponse) map[string]adminapi.Member {
	latest := make(map[string]adminapi.Member)
	for _, resp := range responses {
		if resp.status == nil {
			continue
		}
		for _, m := range resp.status.Members {
			if known, ok := latest[m.Name]; !ok || m.Age < known.Age {
				latest[m.Name] = m
			}
		}
	}
	return latest
}

func highestTicket(responses []vmResponse) uint64 {
	var highest uint64
	for _, resp := range responses {
		if resp.status != nil {
			highest = max(highest, resp.status.Config.Ticket)
		}
	}
	return highest
}

// groupRow is the most recent view of a group.
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

// shareRows returns the sum of each customer's shares over all VMs.
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
