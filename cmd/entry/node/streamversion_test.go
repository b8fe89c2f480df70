package node

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// Guards against a continued stream that is refused or that goes on at another version because
// components work in isolation but not together: the instance that began it is not asked.
func TestStreamIsContinuedAtItsVersion(t *testing.T) {
	s := newSite(t)
	one, two, three := s.start("n1"), s.start("n2"), s.start("n3")
	s.eventually(5*time.Second, "the instances know each other", func() bool {
		return len(one.digests.Members()) == 3 && len(two.digests.Members()) == 3 && len(three.digests.Members()) == 3
	})
	time.Sleep(250 * time.Millisecond) // homes follow the members within 100 ms
	for _, state := range []struct{ decode, want string }{{"v1", "Version=v1"}, {"v2", "Version=v2"}} {
		for _, target := range s.targets[2:] {
			entry := target.RegistryEntry("models", "a", "ready")
			s.store.Put("servers", target.ID(), bytes.Replace(entry, []byte(`"version":"v1"`), []byte(`"version":"`+state.decode+`"`), 1))
		}
		s.eventually(3*time.Second, "the version is seen", func() bool {
			e, ok := one.roster.View().Find("i-3")
			other, known := two.roster.View().Find("i-3")
			return ok && known && string(e.Version) == state.decode && other.Version == e.Version
		})
		id := "begun-at-" + state.decode
		prompt := []string{"X-Model", "m", "X-Token-Count", "5000,8", "X-Prompt-Prefix", "ab:4000,cd:1000"}
		if got := one.call(t, "/stream/x", id, prompt...); got.status != 200 {
			t.Fatalf("stream: %+v", got)
		}
		got := two.call(t, "/stream/x", "later-"+state.decode, append(prompt, "Last-Event-Id", "2", "Resumes", id)...)
		if got.status != 200 {
			t.Errorf("continued stream: %+v", got)
		}
		var line string
		for l := range strings.Lines(two.output.String()) {
			if strings.Contains(l, "StreamVersionLookedUp") && strings.Contains(l, id) {
				line = l
			}
		}
		if !strings.Contains(line, state.want) {
			t.Errorf("no lookup with %s in the log: %s", state.want, line)
		}
	}
	got := three.call(t, "/stream/x", "later", "X-Model", "m", "X-Token-Count", "5000,8", "X-Prompt-Prefix", "ab:4000,cd:1000",
		"Last-Event-Id", "2", "Resumes", "unknown")
	if got.status != 503 {
		t.Errorf("unknown stream: %+v", got)
	}
}
