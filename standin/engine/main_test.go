package engine_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that the engine, its client or the relay
// leave behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
