package io

import (
	"net/http"

	"gorseline/core"
)

// AnswerKind says what a target's answer tells about the request.
type AnswerKind uint8

// Kinds of answers.
const (
	// AnswerRan comes from a target that worked on the request, also if it failed.
	AnswerRan AnswerKind = iota
	// AnswerNotRun states that the target did not run the request and won't.
	AnswerNotRun
	// AnswerMisdirected states that another target has the address now; it did not run
	// the request.
	AnswerMisdirected
)

var answerKindNames = [...]string{"Ran", "NotRun", "Misdirected"}

// String returns the kind's name.
func (k AnswerKind) String() string { return answerKindNames[k] }

// Dialect translates forwarded requests and answers to and from the headers of a
// deployment. It takes no decisions.
type Dialect interface {
	InboundReader
	OutboundWriter
	AnswerReader
	CacheProtocol
}

// InboundReader reads what callers state.
type InboundReader interface {
	// ReadInbound returns what the caller states about a request. The error names what is
	// missing or malformed; the request must then not be forwarded.
	ReadInbound(r *http.Request) (core.ForwardRequest, error)
}

// OutboundWriter forms the header of a send.
type OutboundWriter interface {
	// OutboundHeader returns the header of one attempt: what the caller sent, without what
	// concerns one connection only or what callers may not set, and what the attempt says.
	OutboundHeader(inbound http.Header, a *core.Attempt) http.Header
}

// AnswerReader reads the headers of targets' answers.
type AnswerReader interface {
	// ClassifyAnswer classifies an answer.
	ClassifyAnswer(status int, header http.Header) AnswerKind
	// Matches reports whether an answer belongs to a request.
	Matches(id core.RequestID, answer http.Header) bool
	// RelayedHeader returns the header that goes to the caller.
	RelayedHeader(answer http.Header) http.Header
}

// CacheProtocol names exported KV caches.
type CacheProtocol interface {
	// ExportHandle returns the handle in the answer to a prefill.
	ExportHandle(body []byte) (string, error)
	// ReleaseRequest returns the method and URI of the call that frees an export.
	ReleaseRequest(handle string) (method, uri string)
}
