// Package quarantine finds the parts of prompts that crash engines, and keeps the record of them.
//
// Suspects weighs two hypotheses for each part that requests share. If the part crashes engines, each
// engine that begins to answer a prompt with it is lost. If it doesn't, its requests are lost as often
// as others. Each lost request adds the logarithm of the likelihood ratio to the score of its parts,
// and each survived one subtracts from it (Wald's sequential test). Findings holds the parts that
// were found, in records that instances exchange and store.
package quarantine
