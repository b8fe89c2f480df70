// Package quarantine finds the traits of requests that crash targets, and keeps the record of them. A
// trait is a part that prompts share, or the request as a whole.
//
// Suspects weighs two hypotheses for each trait. If it crashes targets, each target that begins to
// answer a request with it is lost. If it doesn't, its requests are lost as often as others. Each lost
// request adds the logarithm of the likelihood ratio to the score of its traits, and each survived one
// subtracts from it (Wald's sequential test). A request is survived when its answer is complete and its
// target lasts; it may be lost at any moment before. Findings holds the traits that were found, in records
// that instances exchange and store.
package quarantine
