// Package bench compares policies in virtual time on small fakes of the engines
// and plain services of one deployment.
//
// One router decides for the whole fleet, with load reports that lag behind. The
// fakes batch continuously, compute prompts at a fixed rate, slow down with the
// size of the batch, hold a bounded amount of KV memory and of cached prefixes,
// drain before a role change and may crash. Runs depend on nothing but their seed.
package bench
