package service_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that the service or its client leaks.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
