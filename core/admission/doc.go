// Package admission decides whether an instance takes a request on. It bounds what is
// in flight per kind, organisation and model, keeps capacity for urgent kinds, shares
// contended capacity fairly between organisations and refuses early what can't be
// answered in time. A refused request was not run.
package admission
