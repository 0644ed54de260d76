// Package lease decides whether this incarnation of the VM may still spend from
// its base shares. A majority of the VM's voters must have confirmed it as the
// highest incarnation of its name within the last few seconds.
//
// A voter that confirmed one incarnation does not confirm another one before
// every use of the first confirmation has ended. Two processes of one name
// therefore never hold confirmations of one voter at the same time, and two
// sets of voters that suffice for a hold always have a voter in common.
//
// All times are readings of this VM's monotonic clock.
package lease

// Query asks a voter to confirm the sender's incarnation.
type Query struct {
	Number      uint64 // echoed in the answer, so that the sender finds the time of sending
	Incarnation uint64
	Ticket      uint64 // newest ticket of the sender, from which its list of voters follows
	Voters      uint64 // digest of that list
}

// Answer is a voter's answer to a Query.
type Answer struct {
	Number    uint64
	Confirmed bool
	Highest   uint64 // highest incarnation of the sender's name that the voter knows
}
