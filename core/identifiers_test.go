package core_test

import (
	"testing"

	"gorseline/core"
)

// Guards against a role whose encoded name can't be decoded again, which would make a
// stored document unreadable, and against an unknown outcome name that is accepted.
func TestNamesSurviveTextRoundTrip(t *testing.T) {
	for _, role := range []core.Role{core.RoleNone, core.RoleMixed, core.RolePrefill, core.RoleDecode} {
		text, err := role.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		var got core.Role
		if err := got.UnmarshalText(text); err != nil || got != role {
			t.Errorf("role %v: got %v, %v", role, got, err)
		}
	}
	var outcome core.OutcomeKind
	if err := outcome.UnmarshalText([]byte("Maybe")); err == nil {
		t.Error("an unknown outcome name was accepted")
	}
}
