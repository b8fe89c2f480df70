package operator

import (
	"encoding/json"
	"net/http"

	"gorseline/core"
)

// NewHealthHandler returns a handler that answers 200 if check returns nil, and otherwise
// 503 with the refusal as JSON.
func NewHealthHandler(check func() *core.Refusal) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		refusal := check()
		if refusal == nil {
			_, _ = w.Write([]byte("{\"Ready\":true}\n"))
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(refusal)
	})
}
