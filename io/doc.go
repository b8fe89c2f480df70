// Package io groups the packages that speak to peers, targets, callers,
// operators and the platform. Each is named after whom it speaks to.
package io
