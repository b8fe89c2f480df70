// Package bench compares policies in a discrete-event simulation of the engines and plain
// services of one deployment.
//
// One router decides for the whole fleet, with delayed load reports. The fake engines use
// continuous batching, compute prompts at a fixed rate and generate tokens more slowly the
// larger the batch is. Their KV memory and prefix caches are bounded. They drain before a
// role change and may crash. Equal seeds and options give equal runs.
package bench
