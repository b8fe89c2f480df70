package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gorseline/core"
	"gorseline/core/stream"
	"gorseline/io/caller"
)

// fakeDispatcher answers every completion with two words and records its arguments.
type fakeDispatcher struct {
	requests []core.Request
	calls    []core.ServiceCall
	tokens   []string
}

func (f *fakeDispatcher) Complete(_ context.Context, req *core.Request, _ core.CompletionRequest, sink stream.Sink) {
	f.requests = append(f.requests, *req)
	_ = sink.Write([]byte("two "), []byte("token-1"), 1)
	_ = sink.Write([]byte("words "), []byte("token-2"), 1)
	_ = sink.Finish(2)
}

func (f *fakeDispatcher) Resume(ctx context.Context, req *core.Request, c core.CompletionRequest, token string, sink stream.Sink) {
	f.tokens = append(f.tokens, token)
	f.Complete(ctx, req, c, sink)
}

func (f *fakeDispatcher) Call(_ context.Context, req *core.Request, call core.ServiceCall) (core.ServiceAnswer, *core.Refusal) {
	f.requests = append(f.requests, *req)
	f.calls = append(f.calls, call)
	return core.ServiceAnswer{Status: http.StatusCreated, ContentType: "text/plain", Body: []byte("posted")}, nil
}

// fakeInstance is an instance with a fixed configuration. It refuses new work if refusal
// is set.
type fakeInstance struct{ refusal *core.Refusal }

func (f *fakeInstance) CheckAdmission() *core.Refusal { return f.refusal }

func (f *fakeInstance) Addresses(core.DataCentre) ([]string, time.Duration) {
	return []string{"127.0.0.1:1"}, 10 * time.Second
}

// keyDigest is the SHA-256 of "secret".
const keyDigest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

func (f *fakeInstance) Configuration() core.Configuration {
	return core.Configuration{
		Revision:    7,
		DefaultKind: "Lookup",
		Kinds: map[core.KindName]core.Kind{
			"Lookup": {Name: "Lookup", Deadline: 5 * time.Second, Repeatable: true, OutputTokens: 16},
			"Dues":   {Name: "Dues", Deadline: 5 * time.Second},
		},
		Targets: []core.Target{
			{ID: "e1", Service: "llm", Models: []core.Model{"m1"}},
			{ID: "b1", Service: "books"},
		},
		Organisations: map[core.Organisation]core.OrganisationDocument{"chess": {}, "bank": {KeyDigest: keyDigest}},
	}
}

func newFixture() (*fakeDispatcher, *fakeInstance, http.Handler) {
	d, i := &fakeDispatcher{}, &fakeInstance{}
	h := caller.NewHandler(caller.Options{
		Configuration: i, Dispatcher: d, Addresses: i, Admission: i, Clock: core.NewProcessClock(), MaxBodyBytes: 1 << 10,
	})
	return d, i, h
}

func send(h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against invalid requests that are dispatched, and against a refusal that does
// not state that nothing was run.
func TestInvalidRequestIsRefusedAsNotRun(t *testing.T) {
	const good = `{"model":"m1","prompt":"hello"}`
	long := `{"model":"m1","prompt":"` + strings.Repeat("x ", 1<<10) + `"}`
	for _, c := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		kind                     string
	}{
		{"malformed body", "POST", "/v1/completions", `{"model":`, []string{"X-Organisation", "chess"}, 400, "MalformedBody"},
		{"no model", "POST", "/v1/completions", `{"prompt":"x"}`, []string{"X-Organisation", "chess"}, 400, "MissingModel"},
		{"unknown model", "POST", "/v1/completions", `{"model":"m9","prompt":"x"}`, []string{"X-Organisation", "chess"}, 404, "UnknownModel"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"m1"}`, []string{"X-Organisation", "chess"}, 400, "InvalidPrompt"},
		{"image part", "POST", "/v1/chat/completions", `{"model":"m1","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, []string{"X-Organisation", "chess"}, 400, "InvalidPrompt"},
		{"negative length", "POST", "/v1/completions", `{"model":"m1","prompt":"x","max_tokens":-1}`, []string{"X-Organisation", "chess"}, 400, "InvalidMaxTokens"},
		{"oversized body", "POST", "/v1/completions", long, []string{"X-Organisation", "chess"}, 413, "BodyTooLarge"},
		{"no organisation", "POST", "/v1/completions", good, nil, 400, "MissingOrganisation"},
		{"unknown organisation", "POST", "/v1/completions", good, []string{"X-Organisation", "golf"}, 403, "UnknownOrganisation"},
		{"wrong key", "POST", "/v1/completions", good, []string{"X-Organisation", "bank", "Authorization", "Bearer guess"}, 401, "InvalidKey"},
		{"no key", "POST", "/v1/completions", good, []string{"X-Organisation", "bank"}, 401, "InvalidKey"},
		{"unknown kind", "POST", "/v1/completions", good, []string{"X-Organisation", "chess", "X-Kind", "Poem"}, 400, "UnknownKind"},
		{"deadline passed", "POST", "/v1/completions", good, []string{"X-Organisation", "chess", "X-Deadline-Ms", "-5"}, 400, "DeadlinePassed"},
		{"deadline not a number", "POST", "/v1/completions", good, []string{"X-Organisation", "chess", "X-Deadline-Ms", "soon"}, 400, "InvalidDeadline"},
		{"no operation key", "POST", "/services/books/dues", "{}", []string{"X-Organisation", "chess", "X-Kind", "Dues"}, 400, "MissingOperationKey"},
		{"change without kind", "POST", "/services/books/dues", "{}", []string{"X-Organisation", "chess"}, 400, "MissingKind"},
		{"unknown service", "GET", "/services/bank/x", "", []string{"X-Organisation", "chess"}, 404, "UnknownService"},
		{"engine as service", "GET", "/services/llm/x", "", []string{"X-Organisation", "chess"}, 404, "UnknownService"},
		{"unknown path", "GET", "/v2/completions", "", nil, 404, "UnknownPath"},
		{"wrong method", "GET", "/v1/completions", "", nil, 405, "MethodNotAllowed"},
	} {
		Convey("Given "+c.name, t, func() {
			d, _, h := newFixture()
			w := send(h, c.method, c.path, c.body, c.headers...)
			var refusal core.Refusal
			So(json.Unmarshal(w.Body.Bytes(), &refusal), ShouldBeNil)
			So(w.Code, ShouldEqual, c.status)
			So(refusal.Kind, ShouldEqual, c.kind)
			So(refusal.Message, ShouldNotBeBlank)
			So(refusal.NotRun, ShouldBeTrue)
			So(len(d.requests), ShouldEqual, 0)
		})
	}
}

// Guards against answers that OpenAI client libraries can't parse.
func TestCompletionFormats(t *testing.T) {
	headers := []string{"X-Organisation", "bank", "Authorization", "Bearer secret", "X-Deadline-Ms", "3000"}
	Convey("A completion is answered as one body", t, func() {
		d, _, h := newFixture()
		w := send(h, "POST", "/v1/completions", `{"model":"m1","prompt":["one two three"],"max_tokens":2}`, headers...)
		So(w.Code, ShouldEqual, 200)
		So(w.Body.String(), ShouldContainSubstring, `"text":"two words "`)
		So(w.Body.String(), ShouldContainSubstring, `"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}`)
		req := d.requests[0]
		So(req.Organisation, ShouldEqual, core.Organisation("bank"))
		So(req.Deadline.Sub(req.Arrived), ShouldEqual, 3*time.Second)
		So(req.Revision, ShouldEqual, core.Revision(7))
		So(w.Header().Get("X-Request-Id"), ShouldEqual, string(req.ID))
	})
	Convey("A chat completion is answered as one body", t, func() {
		_, _, h := newFixture()
		w := send(h, "POST", "/v1/chat/completions", `{"model":"m1","messages":[{"role":"user","content":"hi"}]}`, headers...)
		So(w.Body.String(), ShouldContainSubstring, `"message":{"role":"assistant","content":"two words "}`)
	})
	Convey("A stream has event ids and ends with [DONE]", t, func() {
		_, _, h := newFixture()
		w := send(h, "POST", "/v1/completions", `{"model":"m1","prompt":"x","stream":true}`, headers...)
		So(w.Header().Get("Content-Type"), ShouldEqual, "text/event-stream")
		So(w.Body.String(), ShouldContainSubstring, "id: token-2\n")
		So(strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"), ShouldBeTrue)
	})
}

// Guards against a leaving instance that refuses to resume a stream, which would cut the
// stream, and against one that accepts new work.
func TestLeavingInstanceResumesStreamsOnly(t *testing.T) {
	Convey("Given an instance that takes no new work", t, func() {
		d, i, h := newFixture()
		i.refusal = (core.Refusal{Kind: "Leaving", NotRun: true, Status: 503}).WithRetryAfter(1500 * time.Millisecond)
		const body = `{"model":"m1","prompt":"x","stream":true}`
		Convey("new work is refused with a retry time", func() {
			w := send(h, "POST", "/v1/completions", body, "X-Organisation", "chess")
			So(w.Code, ShouldEqual, 503)
			So(w.Header().Get("Retry-After"), ShouldEqual, "2")
			So(len(d.requests), ShouldEqual, 0)
		})
		Convey("a resumed stream continues", func() {
			w := send(h, "POST", "/v1/completions", body, "X-Organisation", "chess", "Last-Event-ID", "token-1")
			So(w.Code, ShouldEqual, 200)
			So(d.tokens, ShouldResemble, []string{"token-1"})
		})
	})
}

// Guards against a service call that is dispatched without its idempotency key, query or
// body.
func TestServiceCallIsDispatchedUnchanged(t *testing.T) {
	Convey("Given a call that may not be repeated", t, func() {
		d, _, h := newFixture()
		w := send(h, "POST", "/services/books/dues/fall?member=7", `{"Amount":"45.00"}`,
			"X-Organisation", "chess", "X-Kind", "Dues", "Idempotency-Key", "k1")
		So(w.Code, ShouldEqual, 201)
		So(w.Body.String(), ShouldEqual, "posted")
		So(d.calls[0].Path, ShouldEqual, "/dues/fall?member=7")
		So(d.calls[0].Key, ShouldEqual, core.OperationKey("k1"))
		So(string(d.calls[0].Body), ShouldEqual, `{"Amount":"45.00"}`)
		So(d.requests[0].Kind.Repeatable, ShouldBeFalse)
	})
}
