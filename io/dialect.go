package io

import (
	"net/http"
	"time"

	"gorseline/core"
)

// AnswerKind says whether the target that sent an answer ran the request.
type AnswerKind uint8

// Kinds of answers.
const (
	// AnswerRan means that the target ran the request, successfully or not.
	AnswerRan AnswerKind = iota
	// AnswerNotRun means that the target did not run the request and will not run it.
	AnswerNotRun
	// AnswerMisdirected means that the address now belongs to another target, which did
	// not run the request.
	AnswerMisdirected
)

var answerKindNames = [...]string{"Ran", "NotRun", "Misdirected"}

// String returns the kind's name.
func (k AnswerKind) String() string { return answerKindNames[k] }

// Dialect maps forwarded requests and answers to and from the headers that a deployment
// uses. It contains no routing or retry logic.
type Dialect interface {
	InboundReader
	OutboundWriter
	AnswerReader
	CacheProtocol
}

// InboundReader reads the headers of callers' requests.
type InboundReader interface {
	// ReadInbound returns the ID, host, path, deadline, API key and prompt that a request states, and
	// the stream that it continues.
	// The error names the missing or malformed header; such a request must not be
	// forwarded.
	ReadInbound(r *http.Request) (core.ForwardRequest, error)
	// CallerIdentity returns the values of the headers that identify the caller and, beside method,
	// path and body, what it asks for. Headers that differ between the tries of a request are not
	// among them. The digest of a checked API key stands for the key, so that the values are the same at
	// an instance that gets the request without its key.
	CallerIdentity(h http.Header, access *core.Access) []string
}

// OutboundWriter builds the headers of requests to targets.
type OutboundWriter interface {
	// OutboundHeader returns the header of one attempt: the inbound header without
	// hop-by-hop headers and those that callers may not set, plus the headers that
	// describe the attempt. If keys are checked, the key is left out and the organisation that
	// holds it is named.
	OutboundHeader(inbound http.Header, a *core.Attempt) http.Header
}

// AnswerReader reads the headers of targets' answers.
type AnswerReader interface {
	// ClassifyAnswer tells from an answer whether the target ran the request.
	ClassifyAnswer(status int, header http.Header) AnswerKind
	// StatedLimit returns the number of requests a second that the target takes from all instances
	// together. isStated is false if the answer states none; the error reports a malformed one.
	StatedLimit(header http.Header) (perSecond float64, isStated bool, err error)
	// AskedPause returns for how long a target that refuses a request asks to be sent nothing. isAsked is
	// false if it doesn't ask; the error reports a malformed time.
	AskedPause(status int, header http.Header) (length time.Duration, isAsked bool, err error)
	// StatesLeaving reports whether the target states that it leaves.
	StatesLeaving(header http.Header) bool
	// AnsweredRequest returns the ID of the request that an answer names, or empty.
	AnsweredRequest(answer http.Header) core.RequestID
	// RelayedHeader returns the part of the header that is relayed to the caller.
	RelayedHeader(answer http.Header) http.Header
}

// CacheProtocol reads and releases the handles of KV caches that a prefill exported.
type CacheProtocol interface {
	// ExportHandle returns the export handle in the body of the answer to a prefill.
	ExportHandle(body []byte) (string, error)
	// ReleaseRequest returns the method and URI of the request that frees an export.
	ReleaseRequest(handle string) (method, uri string)
}
