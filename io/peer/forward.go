package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"gorseline/core"
)

// PathForward is the path of the handler that NewForwardHandler returns.
const PathForward = "/gorseline.Peer/Forward"

// ForwardRequest asks another instance to deliver an order.
type ForwardRequest struct {
	Address string
	Order   core.Order
}

// ForwardReply holds the result that the target returned.
type ForwardReply struct{ Result core.OrderResult }

// NewForwardHandler returns a handler that delivers orders on behalf of other instances.
func NewForwardHandler(o core.Orderer, options ...connect.HandlerOption) http.Handler {
	forward := func(ctx context.Context, r *connect.Request[ForwardRequest]) (*connect.Response[ForwardReply], error) {
		return connect.NewResponse(&ForwardReply{o.Order(ctx, r.Msg.Address, r.Msg.Order)}), nil
	}
	options = append(options, connect.WithCodec(Codec{}), connect.WithReadMaxBytes(maxMessageSize))
	return connect.NewUnaryHandler(PathForward, forward, options...)
}

// Forward asks the peer to deliver an order to the target at address. It returns
// core.OrderUnknown if there is no reply from the peer.
func (c *Client) Forward(ctx context.Context, peer, address string, order core.Order) core.OrderResult {
	selectProcedure := func(p *peerClient) *connect.Client[ForwardRequest, ForwardReply] { return p.forward }
	reply, err := call(ctx, c, peer, selectProcedure, &ForwardRequest{address, order})
	if err != nil {
		return core.OrderUnknown
	}
	return reply.Result
}
