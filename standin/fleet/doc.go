// Package fleet runs the control part of many instances in one process and in
// virtual time. It drives the same state machines as the real component, encodes
// every message with the real codec, and brings about loss, delay, duplicates,
// partitions, pauses, kills and store outages from a fixed seed.
package fleet
