// Package retry decides about second attempts: whether a failed request is tried again
// and when, whether a slow short call is hedged, and which targets are avoided because
// they fail. A budget keeps second attempts a small part of the traffic, so that the loss
// of many targets at once does not multiply the load on the rest.
package retry
