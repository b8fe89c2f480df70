package retry_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
