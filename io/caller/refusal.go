package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gorseline/core"
)

// badRequest returns a refusal with status 400. The request was not run.
func badRequest(kind, format string, args ...any) *core.Refusal {
	return &core.Refusal{Kind: kind, Message: fmt.Sprintf(format, args...), NotRun: true, Status: http.StatusBadRequest}
}

// errorBody encodes a refusal both as top-level fields and as the "error" object that
// OpenAI client libraries read.
type errorBody struct {
	*core.Refusal
	Error openAIError `json:"error"`
}

type openAIError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// WriteRefusal answers a caller with a refusal. Retry-After is rounded up to whole
// seconds. It returns an error if the caller has disconnected.
func WriteRefusal(w http.ResponseWriter, r *core.Refusal) error {
	if r.RetryAfterMs > 0 {
		wait := time.Duration(r.RetryAfterMs) * time.Millisecond
		seconds := int64((wait + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	status := r.Status
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	return writeJSON(w, status, errorBody{r, openAIError{r.Message, r.Kind, r.Kind}})
}

// writeJSON writes body as the whole answer. It returns an error if the caller has
// disconnected.
func writeJSON(w http.ResponseWriter, status int, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies are plain structs
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, err = w.Write(append(data, '\n'))
	return err
}

// interrupt makes a blocked write to a caller fail.
func interrupt(controller *http.ResponseController) {
	// A ResponseWriter without support for deadlines doesn't write to a connection that
	// could block.
	_ = controller.SetWriteDeadline(time.Unix(1, 0))
}
