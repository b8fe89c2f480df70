package platform_test

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gorseline/core"
)

// Guards against a version that changes or gets lost between instances, and against entries that
// cost more bytes without one.
func TestVersionIsExchangedByPeers(t *testing.T) {
	for _, version := range []core.SoftwareVersion{"", "v1.1"} {
		data, err := cbor.Marshal(core.Registration{Version: version})
		if err != nil {
			t.Fatal(err)
		}
		var got core.Registration
		if err := cbor.Unmarshal(data, &got); err != nil || got.Version != version {
			t.Errorf("%q is decoded as %q, %v", version, got.Version, err)
		}
		if version == "" && bytes.Contains(data, []byte("Version")) {
			t.Error("an unknown version is encoded")
		}
	}
}
