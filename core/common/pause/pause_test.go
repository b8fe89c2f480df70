package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core/common/pause"
)

// Guards against sleeps that continue after their context has ended or that end early.
func TestForEndsWithTimeOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if !pause.For(t.Context(), time.Second) || time.Since(began) != time.Second {
			t.Errorf("waited %v", time.Since(began))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if pause.For(ctx, time.Minute) {
			t.Error("waited although the context has ended")
		}
	})
}

// Guards against loops that continue after their context has ended or that skip steps.
func TestEveryEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
		defer cancel()
		steps := 0
		pause.Every(ctx, time.Second, func() { steps++ })
		if steps != 10 {
			t.Errorf("%d steps in 10 s", steps)
		}
	})
}
