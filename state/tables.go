package state

// Tables are the shared tables of one VM.
type Tables struct {
	Self     Self
	Config   *ConfigTable
	Lease    *LeaseTable
	Shares   *ShareTable
	Members  *MemberTable
	Sessions *SessionTable
	Groups   *GroupTable
	Backends *BackendTable
}

// Self identifies this VM. It does not change while the process runs.
type Self struct {
	Name        string
	DataCentre  string
	Incarnation uint64 // higher than that of every earlier process of the same name
}

// NewTables returns empty tables for a VM.
func NewTables(self Self) *Tables {
	return &Tables{
		Self:     self,
		Config:   NewConfigTable(),
		Lease:    NewLeaseTable(),
		Shares:   NewShareTable(),
		Members:  NewMemberTable(),
		Sessions: NewSessionTable(),
		Groups:   NewGroupTable(),
		Backends: NewBackendTable(),
	}
}
