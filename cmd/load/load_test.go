package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"gorseline/cmd/workload"
	"gorseline/core"
	"gorseline/io/sse"
	"gorseline/standin/engine"
	"gorseline/standin/network"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// writeTokens streams the tokens of a text, without the first skip ones.
func writeTokens(w http.ResponseWriter, skip int, text string) *sse.Writer {
	out := sse.NewWriter(w, sse.Format{})
	for i, word := range strings.SplitAfter(strings.TrimSpace(text), " ")[skip:] {
		time.Sleep(10 * time.Millisecond)
		out.Write([]byte(strings.TrimSpace(word)+" "), fmt.Appendf(nil, "%d", skip+i+1), 1)
		out.Flush()
	}
	return out
}

// Guards against a report that misses cut, wrong, doubled or lost answers, or counts refused
// requests as failures.
func TestReport(t *testing.T) {
	text, _ := engine.Answer("m", "p", 5)
	tests := []struct {
		name    string
		service bool
		handler http.HandlerFunc
		want    func(r *Report) bool
		passed  bool
	}{
		{
			"complete", false, func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 0, text).Finish(5) },
			func(r *Report) bool { return r.Complete == 10 && r.Tokens == 50 && r.BetweenTokens.P50Ms >= 9.9 }, true,
		},
		{"cut and resumed", false, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-ID") == "3" {
				writeTokens(w, 3, text).Finish(5)
				return
			}
			writeTokens(w, 0, strings.Join(strings.Fields(text)[:3], " "))
			panic(http.ErrAbortHandler)
		}, func(r *Report) bool { return r.Complete == 10 && r.Resumed == 10 }, true},
		{
			"always cut", false, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			func(r *Report) bool { return r.Cut == 10 }, false,
		},
		{
			"silent", false, func(_ http.ResponseWriter, r *http.Request) {
				// The server detects that the client disconnected only after reading the body.
				io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			},
			func(r *Report) bool { return r.Cut == 10 }, false,
		},
		{
			"doubled text", false, func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 0, text+text).Finish(5) },
			func(r *Report) bool { return r.Wrong == 10 }, false,
		},
		{"refused", false, func(w http.ResponseWriter, _ *http.Request) {
			sse.NewWriter(w, sse.Format{}).Fail(&core.Refusal{Kind: "Busy", NotRun: true, Status: 503}, nil)
		}, func(r *Report) bool { return r.NotRun == 10 }, true},
		{
			"effect once", true, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"effect":1}`) },
			func(r *Report) bool { return r.Complete == 10 && r.Service.Count == 10 }, true,
		},
		{
			"effect twice", true, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"effect":2}`) },
			func(r *Report) bool { return r.Doubled == 10 }, false,
		},
		{
			"no effect", true, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"effect":0}`) },
			func(r *Report) bool { return r.Lost == 10 }, false,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := network.New()
				server := &http.Server{Handler: test.handler}
				go server.Serve(n.Listen("127.0.0.1:80"))
				request := workload.Request{Kind: "K", Model: "m", Prompt: "p", MaxTokens: 5}
				if test.service {
					request = workload.Request{Kind: "K", Service: "s", Method: http.MethodPost, Path: "/x"}
				}
				report, err := Run(t.Context(), Options{
					Targets: []string{"127.0.0.1:80"}, Requests: []workload.Request{request},
					Rate: 10, Duration: time.Second, Dial: n.Dial,
				})
				server.Close()
				if err != nil {
					t.Fatal(err)
				}
				if report.Sent != 10 || !test.want(report) || report.Passed() != test.passed {
					t.Errorf("%+v", report)
				}
			})
		})
	}
}

// Guards against load on addresses other than loopback, and against unbounded runs.
func TestBounds(t *testing.T) {
	valid := Options{Targets: []string{"127.0.0.1:80"}, Rate: 10, Duration: time.Second}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Options){
		"no target":    func(o *Options) { o.Targets = nil },
		"not loopback": func(o *Options) { o.Targets = []string{"192.0.2.1:80"} },
		"name":         func(o *Options) { o.Targets = []string{"example.com:80"} },
		"rate":         func(o *Options) { o.Rate = MaxRate + 1 },
		"duration":     func(o *Options) { o.Duration = time.Hour },
		"count":        func(o *Options) { o.Rate, o.Duration = MaxRate, MaxDuration },
	} {
		o := valid
		change(&o)
		if _, err := Run(context.Background(), o); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
