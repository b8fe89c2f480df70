package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"gorseline/core"
)

// Headers of callers' requests.
const (
	HeaderOrganisation   = "X-Organisation"
	HeaderKind           = "X-Kind"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	HeaderLastEventID    = "Last-Event-ID"
)

// maxKeyLength bounds idempotency keys and request IDs, in bytes.
const maxKeyLength = 200

// newRequest builds a request from the headers of r. Its kind and organisation are
// looked up in cfg.
func (h *Handler) newRequest(r *http.Request, cfg core.Configuration) (*core.Request, *core.Refusal) {
	org, refusal := authenticate(r, cfg)
	if refusal != nil {
		return nil, refusal
	}
	kind, refusal := requestKind(r, cfg)
	if refusal != nil {
		return nil, refusal
	}
	now := h.Clock.Now()
	deadline := kind.Deadline
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return nil, badRequest("InvalidDeadline", "%s: invalid value %q, accepted: milliseconds from now", HeaderDeadline, text)
		}
		if ms <= 0 {
			return nil, badRequest("DeadlinePassed", "%s: the deadline has already passed", HeaderDeadline)
		}
		deadline = time.Duration(ms) * time.Millisecond
	}
	key := core.OperationKey(r.Header.Get(HeaderIdempotencyKey))
	if key == "" && !kind.Repeatable {
		return nil, badRequest("MissingOperationKey", "a %s may not be repeated and needs the header %s", kind.Name, HeaderIdempotencyKey)
	}
	if len(key) > maxKeyLength {
		return nil, badRequest("InvalidOperationKey", "%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyLength)
	}
	return &core.Request{
		ID:           requestID(r),
		Organisation: org,
		Kind:         kind,
		OutputTokens: kind.OutputTokens,
		Arrived:      now,
		Deadline:     now.Add(deadline),
		Key:          key,
		Revision:     cfg.Revision,
	}, nil
}

// requestID returns the caller's request ID, or a new one if it is missing or too long.
func requestID(r *http.Request) core.RequestID {
	if id := r.Header.Get(HeaderRequestID); id != "" && len(id) <= maxKeyLength {
		return core.RequestID(id)
	}
	return core.RequestID(uuid.NewString())
}

// authenticate returns the caller's organisation. If the organisation has a key digest,
// the request must contain the matching bearer key; digests are compared in constant time.
func authenticate(r *http.Request, cfg core.Configuration) (core.Organisation, *core.Refusal) {
	org := core.Organisation(r.Header.Get(HeaderOrganisation))
	if org == "" {
		return "", badRequest("MissingOrganisation", "the header %s is required", HeaderOrganisation)
	}
	doc, known := cfg.Organisations[org]
	if !known {
		return "", &core.Refusal{
			Kind: "UnknownOrganisation", Message: "the organisation " + strconv.Quote(string(org)) + " is not configured",
			NotRun: true, Status: http.StatusForbidden,
		}
	}
	if doc.KeyDigest == "" {
		return org, nil
	}
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(doc.KeyDigest)) != 1 {
		return "", &core.Refusal{
			Kind: "InvalidKey", Message: "the bearer key does not belong to the organisation",
			NotRun: true, Status: http.StatusUnauthorized,
		}
	}
	return org, nil
}

// requestKind returns the kind that the request states, or else the default kind.
func requestKind(r *http.Request, cfg core.Configuration) (core.Kind, *core.Refusal) {
	name := core.KindName(r.Header.Get(HeaderKind))
	if name == "" {
		name = cfg.DefaultKind
	}
	if kind, ok := cfg.Kinds[name]; ok {
		return kind, nil
	}
	accepted := make([]string, 0, len(cfg.Kinds))
	for k := range cfg.Kinds {
		accepted = append(accepted, string(k))
	}
	slices.Sort(accepted)
	return core.Kind{}, badRequest("UnknownKind", "%s: invalid value %q, accepted: %s", HeaderKind, name, strings.Join(accepted, ", "))
}

// readBody reads the body and refuses one of more than limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *core.Refusal) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &core.Refusal{
			Kind: "BodyTooLarge", Message: "the body exceeds " + strconv.FormatInt(limit, 10) + " bytes",
			NotRun: true, Status: http.StatusRequestEntityTooLarge,
		}
	}
	if err != nil {
		return nil, badRequest("IncompleteBody", "the body could not be read: %v", err)
	}
	return data, nil
}
