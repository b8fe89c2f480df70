// Package core defines the types that all parts of gorseline share and the
// interfaces between them. Its sub-packages implement the interfaces.
//
// Code in this module receives the current time, randomness and observations as
// arguments. It performs no I/O and reads no clock, so that the same code runs
// in production, in virtual time and in differential tests.
package core
