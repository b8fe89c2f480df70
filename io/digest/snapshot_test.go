package digest

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/roster"
)

func readyCount(r *roster.Roster) int { return len(r.View().Ready("s")) }

// takeSnapshot applies the targets of one roster to another one, as a pull does.
func takeSnapshot(now core.Instant, from, to *roster.Roster) {
	list := newTargetList(from.View())
	to.ReplaceFromPeer(now, list.Version, list.Targets, list.Lapsed)
}

// Guards against a target that left and stays in use at peers: an instance that had just been
// out of touch with the registry retained its entry as lapsed and passed it on as registered.
// The peers then had the newest version and didn't ask again. It was found on trouble-1 of
// velo-kz-grown with seed 1, where requests reached the target 3 s after it had left.
func TestLapsedEntriesAreNotPassedOnAsRegistered(t *testing.T) {
	const recovered = core.Instant(5 * time.Second)
	for _, test := range []struct {
		name                   string
		left                   int
		ready, readyAfterwards int
	}{
		{"one of eight", 1, 7, 7},
		// So many lapsed in the outage. They are used until their grace has ended.
		{"six of eight", 6, 8, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			var list []core.Registration
			for i := range 8 {
				list = append(list, core.Registration{Target: core.Target{ID: core.TargetID(rune('a' + i)), Service: "s"}})
			}
			origin, peer := roster.New(time.Second), roster.New(time.Second)
			origin.Replace(0, 1, list)
			peer.Replace(0, 1, list)
			origin.MarkUnreachable(core.Instant(time.Second))
			origin.MarkReachable(recovered)
			origin.Replace(recovered, 2, list[test.left:])
			takeSnapshot(recovered.Add(400*time.Millisecond), origin, peer)
			if got := readyCount(peer); got != test.ready || peer.View().Version != 2 {
				t.Errorf("%d targets in use at version %d, want %d", got, peer.View().Version, test.ready)
			}
			peer.Expire(recovered.Add(400*time.Millisecond + roster.ReturnGrace))
			if got := readyCount(peer); got != test.readyAfterwards {
				t.Errorf("%d targets in use after the grace period, want %d", got, test.readyAfterwards)
			}
		})
	}
}
