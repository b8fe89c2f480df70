package report_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gorseline/cmd/report"
	"gorseline/core"
)

func at(s time.Duration) core.Timestamp { return core.Timestamp{Wall: s * time.Second} }

// Guards against plots that leave out refused requests, count late answers as goodput, or
// show role changes at the wrong time.
func TestSeriesFromTimeline(t *testing.T) {
	points := report.Points([]core.Event{
		{At: at(10), Kind: "RequestFinished", Detail: "Weight=8 InTime=true PromptTokens=100 OutputTokens=20"},
		{At: at(10), Kind: "RequestRefused", Detail: "Weight=1"},
		{At: at(12), Kind: "RequestFinished", Detail: "Weight=2 InTime=false PromptTokens=5 OutputTokens=6"},
	})
	want := []report.Point{
		{At: 10 * time.Second, Offered: 9, Goodput: 8, Prompt: 100, Output: 20},
		{At: 11 * time.Second},
		{At: 12 * time.Second, Offered: 2, Prompt: 5, Output: 6},
	}
	if diff := cmp.Diff(want, points); diff != "" {
		t.Error(diff)
	}
	roles := report.RoleHistory([]core.Event{
		{At: at(10), Target: "a", Kind: "RoleChangePlanned", Detail: "From=Mixed To=Prefill Gain=3"},
		{At: at(11), Target: "a", Kind: "OrderApplied", Detail: "fence 1 sequence 1 role Prefill Applied"},
	}, map[core.TargetID]core.Role{"a": core.RolePrefill, "b": core.RoleMixed})
	wantRoles := []report.RoleCounts{
		{Count: map[core.Role]int{core.RoleMixed: 2}},
		{At: 11 * time.Second, Count: map[core.Role]int{core.RoleMixed: 1, core.RolePrefill: 1}},
	}
	if diff := cmp.Diff(wantRoles, roles); diff != "" {
		t.Error(diff)
	}
	directory := t.TempDir()
	if err := report.Draw(directory, points, roles, 12*time.Second); err != nil {
		t.Fatal(err)
	}
	for _, name := range report.FileNames {
		if info, err := os.Stat(filepath.Join(directory, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}
