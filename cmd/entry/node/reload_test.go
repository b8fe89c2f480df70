package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const settingsText = `
node_name = "n1"
ip = "127.0.0.1"
zone = "a"
port_range = [7660,7675]
[listen]
front = "127.0.0.1:8144"
ready = "127.0.0.1:8140"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_slack = %d
[platform]
address = "127.0.0.1:8142"
`

// Guards against changed bounds that apply only after a restart, and against an invalid
// file that replaces the last valid settings.
func TestChangedSettingsAreReloaded(t *testing.T) {
	s := newSite(t)
	i := s.start("n1")
	i.options.SettingsPath = filepath.Join(t.TempDir(), "node.toml")
	write := func(text string) {
		if err := os.WriteFile(i.options.SettingsPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		i.reload()
	}
	write(fmt.Sprintf(settingsText, 7))
	if got := i.bounds().RetryBurst; got != 7 {
		t.Errorf("burst %v", got)
	}
	write("grace_s = ")
	write(strings.Replace(fmt.Sprintf(settingsText, 9), "grace_s = 8", "grace_s = -1", 1))
	if got := i.bounds().RetryBurst; got != 7 {
		t.Errorf("burst %v after invalid settings", got)
	}
	s.eventually(2e9, "log lines", func() bool {
		text := i.output.String()
		return strings.Count(text, "Event=SettingsReloaded") == 1 && strings.Count(text, "Event=SettingsRejected") == 2 &&
			strings.Contains(text, "bounds.grace_s")
	})
}
