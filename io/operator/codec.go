// Package operator contains the server and the client of the operators' API: Connect RPC
// over HTTP with JSON messages, whose field names are those of the Go structs.
package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// codec encodes plain Go structs as JSON, so that any HTTP client can call the API.
type codec struct{}

var _ connect.Codec = codec{}

// Name is part of the content type "application/json".
func (codec) Name() string { return "json" }

// Marshal encodes a message.
func (codec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }

// maxMessage bounds a message, in bytes. The configuration of a fleet of the design size
// takes about 2 MB.
const maxMessage = 16 << 20

// handle registers serve at path. Errors other than *connect.Error are answered with
// code Unavailable.
func handle[Request, Answer any](mux *http.ServeMux, path string, serve func(context.Context, Request) (Answer, error)) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Answer], error) {
		answer, err := serve(ctx, *request.Msg)
		var connectErr *connect.Error
		switch {
		case errors.As(err, &connectErr):
			return nil, connectErr
		case err != nil:
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&answer), nil
	}
	mux.Handle(path, connect.NewUnaryHandler(path, unary, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessage)))
}

// call makes one unary call.
func call[Answer, Request any](ctx context.Context, c *Client, path string, request Request) (Answer, error) {
	client := connect.NewClient[Request, Answer](
		c.http, c.base+path, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessage),
	)
	response, err := client.CallUnary(ctx, connect.NewRequest(&request))
	if err != nil {
		var zero Answer
		return zero, err
	}
	return *response.Msg, nil
}
