package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gorseline/core"
	client "gorseline/platform"
	"gorseline/standin/platform"
)

// newEngineClient returns a client that sends orders only while allowed is true.
func newEngineClient(allowed *bool) *client.EngineClient {
	return client.NewEngineClient("n1", &log.Logger{Handler: discard.Default}, func() bool { return *allowed })
}

// Guards against role orders without holder, fencing token or condition, and against an order
// that is sent after the authority has expired.
func TestRoleOrders(t *testing.T) {
	engine, err := platform.NewTarget("i-1", "decode")
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Close()
	allowed := true
	c := newEngineClient(&allowed)
	order := core.Order{Target: "i-1", Role: core.RolePrefill, Fence: 41}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if got := c.Order(ctx, engine.Address(), order); got != core.OrderAccepted {
		t.Fatalf("result %v", got)
	}
	accepted := engine.Orders()
	if len(accepted) != 1 || accepted[0].IfRevision == nil || *accepted[0].IfRevision != 0 || accepted[0].Fence != 41 || accepted[0].Holder != "n1" {
		t.Errorf("orders %+v", accepted)
	}
	report, err := c.Load(ctx, engine.Address())
	if err != nil || report.Role != core.RolePrefill {
		t.Errorf("report %+v, error %v", report, err)
	}
	allowed = false
	order.Role = core.RoleDecode
	if got := c.Order(ctx, engine.Address(), order); got != core.OrderUnknown {
		t.Errorf("result %v after the authority expired", got)
	}
	if len(engine.Orders()) != 1 {
		t.Error("an order was accepted after the authority expired")
	}
	order.Target = "i-2"
	allowed = true
	if got := c.Order(ctx, engine.Address(), order); got == core.OrderAccepted {
		t.Error("a target accepted an order for another target")
	}
}
