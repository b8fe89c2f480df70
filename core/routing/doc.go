// Package routing chooses the target of a request.
//
// Store keeps what an instance knows about its targets and answers the lookup of
// candidates; Hints remembers which target holds which prompt prefix. The routers
// decide among the candidates. Lookups and decisions allocate nothing and run
// concurrently with updates.
package routing
