package core

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest identifies an API key without containing it. It holds the first 16 bytes of the
// key's SHA-256 hash: finding another key with the same digest takes about 2^128 attempts, and
// instances exchange half of the bytes.
type KeyDigest [16]byte

// usualKeyBytes is the length up to which NewKeyDigest allocates nothing.
const usualKeyBytes = 128

// NewKeyDigest returns the digest of a key.
func NewKeyDigest(key string) KeyDigest {
	var d KeyDigest
	var buffer [usualKeyBytes]byte
	sum := sha256.Sum256(append(buffer[:0], key...))
	copy(d[:], sum[:])
	return d
}

// shortDigestBytes is the length of the part of a digest that logs contain.
const shortDigestBytes = 4

// Short returns the first bytes of the digest in hexadecimal, for logs.
func (d KeyDigest) Short() string { return hex.EncodeToString(d[:shortDigestBytes]) }

// IsZero reports whether the digest is unset.
func (d KeyDigest) IsZero() bool { return d == KeyDigest{} }

// OrganisationKeys lists the API keys of one organisation.
type OrganisationKeys struct {
	Name Organisation
	Keys []KeyDigest
	// Priority takes precedence over the priority of routes; nil keeps the route's.
	Priority *int
}

// Access is what the API key of a request grants.
type Access struct {
	// IsEnforced is true if the configuration has organisations. Targets then get neither the
	// key nor the organisation that the caller states.
	IsEnforced bool
	// Organisation holds the key. It is empty on a public route.
	Organisation Organisation
	// Key is the digest of the key, or zero on a public route.
	Key KeyDigest
	// Priority is the organisation's priority, or the route's if it has none.
	Priority int
}

// CurrencyProvider tells whether the configuration in force may be out of date.
type CurrencyProvider interface {
	// IsCurrent reports whether the configuration in force was known to be the newest within the
	// time in which a new one must take effect.
	IsCurrent() bool
}
