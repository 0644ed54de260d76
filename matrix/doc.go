// Package matrix is a fault-injection test of the guarantees in docs/design.md.
// Its tests run whole fleets in virtual time and cause each fault, alone or
// together with another one, at each step of the fleet's operations. Package history
// then checks what clients saw against what the backend servers did.
package matrix
