// Package admission implements admission control for one instance. It limits the requests
// in flight per kind, organisation and model, reserves capacity for urgent kinds, shares
// contended capacity fairly between organisations and refuses early the requests that can't
// be answered in time. A refused request was not executed.
package admission
