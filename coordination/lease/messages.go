// Package lease implements a lease on a VM name. It decides whether this
// incarnation of the VM may still spend from its base shares: a majority of the
// VM's voters must have confirmed it within the last few seconds as the highest
// incarnation of its name.
//
// A voter that confirmed one incarnation does not confirm another before every
// use of the first confirmation has ended. Two processes of one name therefore
// never hold confirmations of the same voter at the same time, and any two sets
// of voters that suffice for a hold have a voter in common.
//
// All times are readings of this VM's monotonic clock.
package lease

// Query asks a voter to confirm the sender's incarnation.
type Query struct {
	Number      uint64 // echoed in the answer, to find the time of sending
	Incarnation uint64
	Ticket      uint64 // latest ticket of the sender, which determines its voters
	Voters      uint64 // digest of the sender's voters
}

// Answer is a voter's answer to a Query.
type Answer struct {
	Number    uint64
	Confirmed bool
	Highest   uint64 // highest incarnation of the sender's name known to the voter
}
