// Package operator serves and calls the operators' API: connect over HTTP with
// JSON messages whose fields are named as in the code.
package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// codec encodes messages as JSON, so that any HTTP client can call the API.
type codec struct{}

var _ connect.Codec = codec{}

// Name is part of the content type "application/json".
func (codec) Name() string { return "json" }

// Marshal encodes a message.
func (codec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }

// maxMessage bounds a message: a configuration at the design size has about 2 MB.
const maxMessage = 16 << 20

func handle[Request, Answer any](mux *http.ServeMux, path string, serve func(context.Context, Request) (Answer, error)) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Answer], error) {
		answer, err := serve(ctx, *request.Msg)
		var typed *connect.Error
		switch {
		case errors.As(err, &typed):
			return nil, typed
		case err != nil:
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&answer), nil
	}
	mux.Handle(path, connect.NewUnaryHandler(path, unary, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessage)))
}

func call[Answer, Request any](ctx context.Context, c *Client, path string, request Request) (Answer, error) {
	client := connect.NewClient[Request, Answer](
		c.http, c.base+path, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessage),
	)
	response, err := client.CallUnary(ctx, connect.NewRequest(&request))
	if err != nil {
		var none Answer
		return none, err
	}
	return *response.Msg, nil
}
