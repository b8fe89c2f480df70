package forward

import (
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/apikey"
)

// unconfirmedRetryAfter is the retry delay for callers whose key this instance doesn't know while its
// configuration may be out of date. It usually is confirmed again within that time.
const unconfirmedRetryAfter = notReadyRetryAfter

// checkKey checks the API key of the request. It returns false if it has answered the request, which then
// has not run.
func (r *activeRequest) checkKey() bool {
	req := apikey.Request{Route: r.route, Key: r.req.Key, IsMalformed: r.req.IsKeyMalformed}
	if r.detour != nil {
		req.Digest = r.detour.key
	}
	r.verdict = r.table.Keys().Check(req, r.Currency)
	switch {
	case r.verdict.IsAccepted():
		return true
	case r.verdict.Reason == apikey.ReasonUnconfirmed || !req.Digest.IsZero():
		// The instance that sent the digest has accepted the key under a version that may be older.
		r.refuse(r.verdict.Reason, unconfirmedRetryAfter)
	case r.Forwarder.table.Load() != r.table:
		// A newer configuration has come into force since the request was matched. It is the one that is
		// current, and it may have the key.
		r.refuse(apikey.ReasonUnconfirmed, unconfirmedRetryAfter)
	default:
		r.w.Header().Set("WWW-Authenticate", "Bearer")
		r.reject(http.StatusUnauthorized, r.verdict.Reason, "the API key is missing or not valid")
	}
	return false
}

// addAccess adds to the fields of a log line which organisation sent the request, or which key was not
// accepted. No key is logged.
func (r *activeRequest) addAccess(fields log.Fields) {
	switch v := &r.verdict; {
	case v.Access.IsEnforced && v.Access.Organisation != "":
		fields["Organisation"], fields["Priority"] = v.Access.Organisation, v.Access.Priority
	case !v.IsAccepted():
		if !v.Digest.IsZero() {
			fields["KeyHash"] = v.Digest.Short()
		}
		if v.DroppedIn != 0 {
			fields["DroppedIn"] = v.DroppedIn
		}
	}
}

// detourKeyParameter precedes the digest of the API key in headerDetour. A header of its own could be
// forged: earlier builds only remove the headers between instances that they know from what callers
// send.
const detourKeyParameter = ";key="

// detourValue returns the value of headerDetour.
func detourValue(instance core.InstanceID, key core.KeyDigest) string {
	if key.IsZero() {
		return string(instance)
	}
	return string(instance) + detourKeyParameter + hex.EncodeToString(key[:])
}

// parseDetourValue returns the name of the instance that sends a request, and the digest of the request's
// API key if it states one. Earlier builds don't.
func parseDetourValue(value string) (from string, key core.KeyDigest, err error) {
	from, text, hasKey := strings.Cut(value, detourKeyParameter)
	if !hasKey {
		return from, key, nil
	}
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(key) {
		return from, key, errors.Errorf("%s: the key is not a digest", headerDetour)
	}
	copy(key[:], data)
	return from, key, nil
}
