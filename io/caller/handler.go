// Package caller serves the callers' API: OpenAI-compatible completions over HTTP,
// calls of plain services, and the addresses of instances to connect to.
package caller

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"gorseline/core"
	"gorseline/core/stream"
	"gorseline/io/sse"
)

// CompletionDispatcher runs completions. It writes each answer to its sink and ends it
// with Finish or Fail.
type CompletionDispatcher interface {
	Complete(ctx context.Context, req *core.Request, completion core.CompletionRequest, sink stream.Sink)
	// Resume continues the stream that a resume token identifies.
	Resume(ctx context.Context, req *core.Request, completion core.CompletionRequest, token string, sink stream.Sink)
}

// ServiceDispatcher runs calls of plain services.
type ServiceDispatcher interface {
	Call(ctx context.Context, req *core.Request, call core.ServiceCall) (core.ServiceAnswer, *core.Refusal)
}

// Dispatcher runs callers' requests.
type Dispatcher interface {
	CompletionDispatcher
	ServiceDispatcher
}

// AddressProvider selects instances for callers.
type AddressProvider interface {
	// Addresses returns the addresses for a caller in a data centre, in the order to try
	// them, and for how long the caller may cache them.
	Addresses(from core.DataCentre) (addresses []string, ttl time.Duration)
}

// AdmissionChecker reports whether this instance accepts new work.
type AdmissionChecker interface {
	// CheckAdmission returns nil if new work is accepted, or the refusal to answer with.
	CheckAdmission() *core.Refusal
}

// Options configure a Handler. All fields are required.
type Options struct {
	Configuration core.ConfigurationProvider
	Dispatcher    Dispatcher
	Addresses     AddressProvider
	Admission     AdmissionChecker
	Clock         core.ClockProvider
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
}

// Handler serves the callers' API.
type Handler struct {
	Options
	router *mux.Router
}

// NewHandler returns the handler of the callers' API.
func NewHandler(options Options) *Handler {
	h := &Handler{Options: options, router: mux.NewRouter()}
	h.router.HandleFunc("/v1/completions", h.textCompletion).Methods(http.MethodPost)
	h.router.HandleFunc("/v1/chat/completions", h.chatCompletion).Methods(http.MethodPost)
	h.router.HandleFunc("/v1/models", h.models).Methods(http.MethodGet)
	h.router.HandleFunc("/addresses", h.addresses).Methods(http.MethodGet)
	h.router.PathPrefix("/services/{service}").HandlerFunc(h.service)
	h.router.NotFoundHandler = http.HandlerFunc(notFound)
	h.router.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

func (h *Handler) textCompletion(w http.ResponseWriter, r *http.Request) { h.completion(w, r, false) }

func (h *Handler) chatCompletion(w http.ResponseWriter, r *http.Request) { h.completion(w, r, true) }

func (h *Handler) completion(w http.ResponseWriter, r *http.Request, chat bool) {
	cfg := h.Configuration.Configuration()
	req, completion, body, refusal := h.decode(w, r, cfg, chat)
	if refusal != nil {
		_ = WriteRefusal(w, refusal)
		return
	}
	w.Header().Set(HeaderRequestID, string(req.ID))
	format := sse.Format{Chat: chat, ID: req.ID, Model: req.Model, Created: time.Now(), PromptTokens: req.PromptTokens}
	var sink stream.Sink = newBufferedSink(w, format)
	if body.Stream {
		sink = sse.NewWriter(w, format)
	}
	if token := r.Header.Get(HeaderLastEventID); token != "" {
		h.Dispatcher.Resume(r.Context(), req, completion, token, sink)
		return
	}
	h.Dispatcher.Complete(r.Context(), req, completion, sink)
}

func (h *Handler) decode(
	w http.ResponseWriter, r *http.Request, cfg core.Configuration, chat bool,
) (*core.Request, core.CompletionRequest, completionBody, *core.Refusal) {
	var completion core.CompletionRequest
	req, refusal := h.newRequest(r, cfg)
	if refusal != nil {
		return nil, completion, completionBody{}, refusal
	}
	data, refusal := readBody(w, r, h.MaxBodyBytes)
	if refusal != nil {
		return nil, completion, completionBody{}, refusal
	}
	body, text, refusal := decodeCompletion(data, chat)
	if refusal != nil {
		return nil, completion, body, refusal
	}
	if refusal = checkModel(cfg, core.Model(body.Model)); refusal != nil {
		return nil, completion, body, refusal
	}
	if refusal = h.checkAdmission(r); refusal != nil {
		return nil, completion, body, refusal
	}
	req.Model = core.Model(body.Model)
	req.PromptTokens = core.CountTokens(text)
	req.PrefixBlocks = core.AppendPrefixBlocks(nil, text)
	if body.MaxTokens > 0 {
		req.OutputTokens = body.MaxTokens
	}
	completion = core.CompletionRequest{
		Request: req.ID, Model: req.Model, Prompt: text, MaxTokens: req.OutputTokens, Priority: req.Kind.Priority,
	}
	return req, completion, body, nil
}

// checkAdmission refuses new work while the instance accepts none. Resuming a stream is
// not new work.
func (h *Handler) checkAdmission(r *http.Request) *core.Refusal {
	if r.Header.Get(HeaderLastEventID) != "" {
		return nil
	}
	return h.Admission.CheckAdmission()
}

func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	cfg := h.Configuration.Configuration()
	answer, refusal := h.callService(w, r, cfg)
	if refusal != nil {
		_ = WriteRefusal(w, refusal)
		return
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // an error means that the caller has disconnected
}

func (h *Handler) callService(
	w http.ResponseWriter, r *http.Request, cfg core.Configuration,
) (core.ServiceAnswer, *core.Refusal) {
	service := core.Service(mux.Vars(r)["service"])
	if !hasService(cfg, service) {
		return core.ServiceAnswer{}, &core.Refusal{
			Kind: "UnknownService", Message: "no such service: " + string(service), NotRun: true, Status: http.StatusNotFound,
		}
	}
	// A call with an unsafe method must state its kind, because the kind determines
	// whether the call may be repeated.
	if !isSafeMethod(r.Method) && r.Header.Get(HeaderKind) == "" {
		return core.ServiceAnswer{}, badRequest("MissingKind", "a %s of a service needs the header %s", r.Method, HeaderKind)
	}
	req, refusal := h.newRequest(r, cfg)
	if refusal != nil {
		return core.ServiceAnswer{}, refusal
	}
	body, refusal := readBody(w, r, h.MaxBodyBytes)
	if refusal != nil {
		return core.ServiceAnswer{}, refusal
	}
	if refusal = h.Admission.CheckAdmission(); refusal != nil {
		return core.ServiceAnswer{}, refusal
	}
	req.Service = service
	ctx, cancel := context.WithTimeout(r.Context(), req.Remaining(h.Clock.Now()))
	defer cancel()
	w.Header().Set(HeaderRequestID, string(req.ID))
	return h.Dispatcher.Call(ctx, req, core.ServiceCall{
		Request: req.ID,
		Method:  r.Method,
		Path:    servicePath(r, service),
		Key:     req.Key,
		Body:    body,
	})
}

// servicePath returns the path and query of r below the prefix of the service.
func servicePath(r *http.Request, service core.Service) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+string(service))
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func isSafeMethod(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// hasService reports whether a target serves service as a plain service; engines don't
// count.
func hasService(cfg core.Configuration, service core.Service) bool {
	return slices.ContainsFunc(cfg.Targets, func(t core.Target) bool { return t.Service == service && !t.IsEngine() })
}

// modelsOf returns the models of all targets, sorted and without duplicates.
func modelsOf(cfg core.Configuration) []core.Model {
	var models []core.Model
	for _, t := range cfg.Targets {
		models = append(models, t.Models...)
	}
	slices.Sort(models)
	return slices.Compact(models)
}

func checkModel(cfg core.Configuration, model core.Model) *core.Refusal {
	serves := func(t core.Target) bool { return slices.Contains(t.Models, model) }
	if slices.ContainsFunc(cfg.Targets, serves) {
		return nil
	}
	models := modelsOf(cfg)
	names := make([]string, len(models))
	for i, m := range models {
		names[i] = string(m)
	}
	return &core.Refusal{
		Kind: "UnknownModel", Message: "no such model: " + string(model) + ", accepted: " + strings.Join(names, ", "),
		NotRun: true, Status: http.StatusNotFound,
	}
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) models(w http.ResponseWriter, _ *http.Request) {
	var list struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}
	list.Object = "list"
	list.Data = []modelEntry{}
	for _, m := range modelsOf(h.Configuration.Configuration()) {
		list.Data = append(list.Data, modelEntry{string(m), "model", "gorseline"})
	}
	_ = writeJSON(w, http.StatusOK, list)
}

type addressesBody struct {
	// Addresses are in the order to try them.
	Addresses []string
	// KeepMs is how long the caller may cache the answer, in milliseconds.
	KeepMs int64
}

func (h *Handler) addresses(w http.ResponseWriter, r *http.Request) {
	list, ttl := h.Addresses.Addresses(core.DataCentre(r.URL.Query().Get("dataCentre")))
	_ = writeJSON(w, http.StatusOK, addressesBody{list, ttl.Milliseconds()})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	_ = WriteRefusal(w, &core.Refusal{
		Kind: "UnknownPath", Message: "no such path: " + r.URL.Path, NotRun: true, Status: http.StatusNotFound,
	})
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	_ = WriteRefusal(w, &core.Refusal{
		Kind: "MethodNotAllowed", Message: r.Method + " is not accepted on " + r.URL.Path,
		NotRun: true, Status: http.StatusMethodNotAllowed,
	})
}
