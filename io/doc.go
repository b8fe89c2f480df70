// Package io groups the clients, servers and codecs for peers, targets, callers,
// operators and the platform. Each package is named after its peer or its protocol.
package io
