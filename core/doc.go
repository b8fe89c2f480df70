// Package core holds the values that all parts of gorseline share and the
// interfaces between them. Implementations live in the packages below it.
//
// Code in this module takes the current time, randomness and observations as
// arguments. It performs no I/O and reads no clock, so that the same code runs
// in production, in virtual time and in differential tests.
package core
