package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"gorseline/core/retry"
)

// Guards against a send that costs no retry although its target counts it, whatever the targets
// did with the sends that got no answer, and against retries taken for sends that never arrived.
func TestLedgerCoversAllArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledger retry.Ledger
		arrivals, computed, taken, notSent := 0, false, 0, 0
		sends := rapid.IntRange(1, 12).Draw(t, "sends")
		for range sends {
			stage := retry.Stage(rapid.IntRange(0, 1).Draw(t, "stage"))
			result := retry.SendResult(rapid.IntRange(0, 3).Draw(t, "result"))
			due := ledger.Due(stage)
			ledger.Take(due)
			taken += due
			ledger.Record(stage, result)
			if result == retry.SendNotSent {
				notSent++
			}
			// A send without an answer may have been lost, refused or accepted.
			actual := result
			if result == retry.SendUnknown {
				actual = retry.SendResult(rapid.IntRange(0, 2).Draw(t, "actual"))
			}
			switch {
			case actual == retry.SendNotSent:
			case stage == retry.StageCompute && actual == retry.SendAccepted && !computed:
				computed = true
			default:
				arrivals++
			}
			if extra := max(0, arrivals-1); extra > taken {
				t.Fatalf("%d arrivals beyond the first, %d retries taken", extra, taken)
			}
		}
		if taken > sends-notSent {
			t.Fatalf("%d retries taken for %d sends, %d of which were not sent", taken, sends, notSent)
		}
	})
}

// Guards against retries taken for targets that can't be reached, which never see the request.
func TestUnreachableTargetsTakeNoRetries(t *testing.T) {
	var ledger retry.Ledger
	for range 3 {
		ledger.Record(retry.StageRun, retry.SendNotSent)
		if due := ledger.Due(retry.StageRun); due != 0 {
			t.Fatalf("%d retries due", due)
		}
	}
	ledger.Record(retry.StageRun, retry.SendRefused)
	if due := ledger.Due(retry.StageRun); due != 1 {
		t.Errorf("%d retries due after an arrival, want 1", due)
	}
}
