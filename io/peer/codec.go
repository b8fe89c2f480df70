// Package peer lets instances speak to each other: probes, digests, and pushes and
// pulls of the configuration. It uses connect with a CBOR codec over plain Go
// structs, on HTTP/2 with or without TLS.
package peer

import (
	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Codec encodes messages as CBOR. Fields without a key are skipped by older
// instances, so that versions can be mixed during a replacement.
type Codec struct{}

var _ connect.Codec = Codec{}

// maxElements bounds arrays and maps: 680 members and 7,300 documents fit.
const maxElements = 1 << 17

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Name returns the codec's name, which is part of the content type.
func (Codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (Codec) Marshal(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, errors.Wrap(err, "encode a peer message")
}

// Unmarshal decodes a message.
func (Codec) Unmarshal(data []byte, v any) error {
	return errors.Wrap(decoding.Unmarshal(data, v), "decode a peer message")
}
