// Package matrix proves the promises of docs/design.md under failure. Its tests
// run whole fleets in virtual time, cause every fault at every step of what a
// fleet does, alone and in pairs, and let package history judge what clients
// saw.
package matrix
