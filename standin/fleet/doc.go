// Package fleet simulates the control plane of many instances in one process and in
// virtual time. It drives the state machines that production runs, encodes every
// message with the production codec, and injects message loss, delay, duplicates,
// partitions, pauses, crashes and store outages from a fixed seed.
package fleet
