package soak

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	"gorseline/standin/platform"
)

// addressView serves the store to one instance, with the addresses of targets replaced by those of the
// instance's own links to them.
type addressView struct {
	store    http.Handler
	replacer *strings.Replacer
}

// ServeHTTP serves a call of the store.
func (v *addressView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	v.store.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	answer := map[string]json.RawMessage{}
	var rows []platform.Row
	if json.Unmarshal(body, &answer) == nil && json.Unmarshal(answer["rows"], &rows) == nil {
		for i := range rows {
			if rows[i].Table == "servers" {
				rows[i].Value = []byte(v.replacer.Replace(string(rows[i].Value)))
			}
		}
		body = mustMarshal(answer, rows)
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(body) // an instance that gets no answer calls again
}

// mustMarshal returns an answer with other rows.
func mustMarshal(answer map[string]json.RawMessage, rows []platform.Row) []byte {
	data, err := json.Marshal(rows)
	if err == nil {
		answer["rows"] = data
		data, err = json.Marshal(answer)
	}
	if err != nil {
		panic(err) // unreachable: all values were decoded before
	}
	return data
}
