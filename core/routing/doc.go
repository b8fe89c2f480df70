// Package routing chooses the target of a request.
//
// Store holds the state of the targets that an instance knows and looks up the candidates
// for a request. PrefixIndex records which targets hold which prompt prefixes. The routers
// decide among the candidates. Lookups and decisions don't allocate and run concurrently
// with updates.
package routing
