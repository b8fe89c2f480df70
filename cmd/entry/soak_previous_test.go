package main_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gorseline/standin/platform/soak"
)

// landedCommit is the latest commit that was in service before the present changes.
const landedCommit = "326021e14a3932b4d509549f1f9e84067ac3a2f4"

// buildCommit builds the program of a commit of the repository's history, and skips the test where the
// history isn't there.
func buildCommit(t *testing.T, commit string) string {
	t.Helper()
	dir := t.TempDir()
	if output, err := exec.Command("git", "cat-file", "-e", commit+"^{commit}").CombinedOutput(); err != nil {
		t.Skipf("the history lacks %s: %v %s", commit, err, output)
	}
	tree, program := filepath.Join(dir, "tree"), filepath.Join(dir, "entry")
	run := func(dir, name string, args ...string) {
		t.Helper()
		cmd := exec.Command(name, args...)
		cmd.Dir = dir
		if output, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%s %s: %v\n%s", name, strings.Join(args, " "), err, output)
		}
	}
	run("", "git", "worktree", "add", "--detach", tree, commit)
	t.Cleanup(func() { run("", "git", "worktree", "remove", "--force", tree) })
	run(tree, "go", "build", "-o", program, "./cmd/entry")
	return program
}

// Guards against formats between instances that the build in service reads wrongly, or the other way
// round, while the instances are replaced one after the other beside the usual faults.
func TestSoakBesidePreviousBuild(t *testing.T) {
	if testing.Short() {
		t.Skip("builds an earlier commit and starts processes")
	}
	previous := []string{buildCommit(t, landedCommit)}
	for _, seed := range []uint64{1, 2} {
		report := runSoak(t, soak.Options{Seed: seed, FaultDuration: 8 * time.Second, Previous: previous})
		if len(report.Replaced) < 4 {
			t.Errorf("seed %d: %d instances were replaced, want all 4", seed, len(report.Replaced))
		}
		if report.Answered < 50 {
			t.Errorf("seed %d: only %d of %d requests answered", seed, report.Answered, report.Requests)
		}
	}
}
