// Package retry decides about additional attempts: whether and when a failed request is
// retried, whether a slow short call is hedged, and which targets are avoided because they
// fail. A budget limits additional attempts to a small part of the traffic, so that the
// loss of many targets at once doesn't multiply the load on the others.
package retry
