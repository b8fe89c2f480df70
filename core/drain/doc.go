// Package drain takes instances and targets out of service without interrupting
// requests.
//
// A leaving instance announces that it leaves and accepts requests until the address
// answers that callers have cached expire. It then refuses new requests and waits for open
// streams. At the drain timeout it hands over the streams that are still open. Finally it
// releases its leases. A leaving target gets no new work and finishes its running work.
//
// Durations tells an instance that has to stop at a fixed time which requests it can still finish.
package drain
