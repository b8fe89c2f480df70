// Package peer implements the calls between instances: probes and digests of the membership
// protocol, pushes and pulls of the configuration, and forwarded orders. It uses Connect with
// CBOR-encoded Go structs over HTTP/2, with or without TLS.
package peer

import (
	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Codec encodes messages as CBOR. Decoding skips unknown fields, so that instances of
// different versions can communicate during a rolling update.
type Codec struct{}

var _ connect.Codec = Codec{}

// maxElements limits the elements of an array or map. It fits 680 members and 7,300 documents.
const maxElements = 1 << 17

// decMode limits the arrays and maps in a message.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Name returns the name of the codec, which is part of the content type.
func (Codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (Codec) Marshal(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, errors.Wrap(err, "encode peer message")
}

// Unmarshal decodes a message.
func (Codec) Unmarshal(data []byte, v any) error {
	return errors.Wrap(decMode.Unmarshal(data, v), "decode peer message")
}
