package operator

import (
	"encoding/json"
	"net/http"

	"gorseline/core"
)

// NewHealthHandler answers 200 while check returns nil, else 503 with the reason.
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
