// Package streamstart keeps the software versions at which streams began, so that any instance
// can continue a stream at the same version after the loss of the instance that relayed it.
//
// While a service has run a single version for longer than its streams last, that version
// answers every question and nothing is sent. Otherwise, instances send a record of each stream
// to several others, its homes. A version is never guessed: without a record, and without
// recent evidence of a single version, the answer is that it isn't known.
package streamstart
