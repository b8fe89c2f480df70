// Package drain takes instances and targets out of service without cutting a
// request.
//
// A leaving instance announces itself, accepts requests until cached address
// answers have expired, refuses new ones, waits for streams, hands over those that
// are still open at the limit, releases its leases and is done. A leaving target
// gets no new work and keeps what it runs.
package drain
