package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"gorseline/core/membership"
	"gorseline/core/propagation"
)

// Server answers the calls of other instances.
type Server interface {
	Probe(ctx context.Context, m membership.Message) (membership.Message, error)
	IndirectProbe(ctx context.Context, m membership.Message) (membership.Message, error)
	Digest(ctx context.Context, m membership.Message) (membership.Message, error)
	Push(ctx context.Context, p propagation.Push) (propagation.PushReply, error)
	Pull(ctx context.Context, p propagation.Pull) (propagation.PullReply, error)
	Status(ctx context.Context, r propagation.StatusRequest) (propagation.StatusReply, error)
}

// NewHandler returns the HTTP handler of a server. Mount it at "/gorseline.Peer/".
// The options apply to all procedures.
func NewHandler(s Server, options ...connect.HandlerOption) http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathProbe, s.Probe, options)
	handle(mux, pathIndirectProbe, s.IndirectProbe, options)
	handle(mux, pathDigest, s.Digest, options)
	handle(mux, pathPush, s.Push, options)
	handle(mux, pathPull, s.Pull, options)
	handle(mux, pathStatus, s.Status, options)
	return mux
}

func handle[Request, Reply any](
	mux *http.ServeMux, path string, serve func(context.Context, Request) (Reply, error), options []connect.HandlerOption,
) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Reply], error) {
		reply, err := serve(ctx, *request.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&reply), nil
	}
	mux.Handle(path, connect.NewUnaryHandler(path, unary,
		connect.WithCodec(Codec{}), connect.WithReadMaxBytes(maxMessageSize), connect.WithHandlerOptions(options...)))
}

// NewHTTPServer returns a server that supports HTTP/2 with or without TLS for peers, and
// HTTP/1 for other clients.
func NewHTTPServer(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	protocols.SetHTTP1(true)
	return &http.Server{Handler: h, Protocols: &protocols}
}
