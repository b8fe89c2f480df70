package engine_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutine leaks of the engine, its client and the relay.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
