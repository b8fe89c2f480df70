package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gorseline/core"
	"gorseline/core/prompt"
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

// Guards against malformed entries of an engine's cache list that hide the others, and against
// parts that don't match those of the same prompt in a request.
func TestCachedPartsOfEngine(t *testing.T) {
	engine, err := platform.NewTarget("i-1", "prefill")
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Close()
	allowed := false
	c := newEngineClient(&allowed)
	if _, err := c.CachedParts(t.Context(), engine.Address(), "i-1"); err == nil {
		t.Error("no error for an engine that doesn't list its parts")
	}
	engine.SetCacheList(`{"epoch":3,"next":9,"held":[["","5c1e07a2",800,"m"],["",7,800,"m"],["","x","800","m"],[""],
		["","y",-1,"m"],["","91bd3f06",410,"m"]]}`)
	parts, err := c.CachedParts(t.Context(), engine.Address(), "i-1")
	if err != nil || len(parts) != 2 {
		t.Fatalf("parts %+v, error %v", parts, err)
	}
	request := httptest.NewRequest(http.MethodPost, "/x", nil)
	request.Header.Set("X-Request-Id", "r1")
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	inbound, err := client.Dialect{}.ReadInbound(request)
	if err != nil {
		t.Fatal(err)
	}
	cache := prompt.NewCacheModel(10_000)
	cache.AddParts(parts)
	if got := cache.CachedTokens(prompt.NewChain(inbound.Prompt)); got != 1210 {
		t.Errorf("%d tokens cached, want 1210", got)
	}
	other := *inbound.Prompt
	other.Model = "n"
	if got := cache.CachedTokens(prompt.NewChain(&other)); got != 0 {
		t.Errorf("%d tokens cached for another model, want 0", got)
	}
	if _, err := c.CachedParts(t.Context(), engine.Address(), "i-2"); err == nil {
		t.Error("no error for an address that another target has now")
	}
}
