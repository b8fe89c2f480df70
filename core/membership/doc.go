// Package membership maintains one instance's view of the live instances.
//
// Instances of one data centre probe each other and piggyback membership changes
// on the probes; delegates exchange digests with the other data centres. Protocol
// is a state machine: it takes the time, randomness and messages as arguments and
// returns the calls to make. It does no I/O.
package membership
