package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gorseline/core"
)

// badRequest returns a refusal of a request that is wrong in itself.
func badRequest(kind, format string, args ...any) *core.Refusal {
	return &core.Refusal{Kind: kind, Message: fmt.Sprintf(format, args...), NotRun: true, Status: http.StatusBadRequest}
}

// errorBody carries the refusal in its own fields and in the "error" object that
// client libraries of this API read.
type errorBody struct {
	*core.Refusal
	Error openAIError `json:"error"`
}

type openAIError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// WriteRefusal answers a caller with a refusal. It returns an error if the caller went
// away.
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

// writeJSON returns an error if the caller went away.
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
func interrupt(control *http.ResponseController) {
	// A response that has no deadlines can't block on a connection either.
	_ = control.SetWriteDeadline(time.Unix(1, 0))
}
