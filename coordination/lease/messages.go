// Package lease decides whether this incarnation of the VM may still spend from
// its base shares. A majority of the VM's voters must have confirmed it as the
// highest incarnation of its name within the last few seconds.
package lease

// Query asks a voter to confirm the sender's incarnation.
type Query struct {
	Number      uint64 // echoed in the answer, so that the sender finds the time of sending
	Incarnation uint64
}

// Answer is a voter's answer to a Query.
type Answer struct {
	Number    uint64
	Confirmed bool
	Highest   uint64 // highest incarnation of the sender's name that the voter knows
}
