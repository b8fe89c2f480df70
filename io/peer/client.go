package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/membership"
	"gorseline/core/propagation"
)

// Paths of the procedures.
const (
	pathProbe         = "/gorseline.Peer/Probe"
	pathIndirectProbe = "/gorseline.Peer/IndirectProbe"
	pathDigest        = "/gorseline.Peer/Digest"
	pathPush          = "/gorseline.Peer/Push"
	pathPull          = "/gorseline.Peer/Pull"
	pathStatus        = "/gorseline.Peer/Status"
)

// maxMessage bounds a message: a whole configuration at the design size has
// about 2 MB.
const maxMessage = 16 << 20

// StatusRequest asks for the revisions in force in a data centre.
type StatusRequest struct{}

// Transport makes calls to other instances. A call ends by its context's
// deadline; an error means that no reply arrived.
type Transport interface {
	Probe(ctx context.Context, address string, m membership.Message) (membership.Message, error)
	IndirectProbe(ctx context.Context, address string, m membership.Message) (membership.Message, error)
	Digest(ctx context.Context, address string, m membership.Message) (membership.Message, error)
	Push(ctx context.Context, address string, p propagation.Push) (propagation.PushReply, error)
	Pull(ctx context.Context, address string, p propagation.Pull) (propagation.PullReply, error)
	Status(ctx context.Context, address string) (propagation.StatusReply, error)
}

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	// Peers bounds the number of peers whose clients are kept; 0 uses 1,024.
	Peers int
	// IdleTimeout closes connections that were not used for as long; 0 uses five
	// minutes, because a member of a data centre of 113 probes each of the others
	// about every two minutes.
	IdleTimeout time.Duration
	// HTTP replaces the HTTP client, for measuring.
	HTTP connect.HTTPClient
}

// Client calls other instances over HTTP/2.
type Client struct {
	http  connect.HTTPClient
	peers *lru.Cache[string, *procedures]
}

var _ Transport = (*Client)(nil)

// procedures are the clients for one peer.
type procedures struct {
	probe, indirect, digest *connect.Client[membership.Message, membership.Message]
	push                    *connect.Client[propagation.Push, propagation.PushReply]
	pull                    *connect.Client[propagation.Pull, propagation.PullReply]
	status                  *connect.Client[StatusRequest, propagation.StatusReply]
}

// NewClient returns a client. It opens connections when they are needed.
func NewClient(o ClientOptions) (*Client, error) {
	if o.Peers == 0 {
		o.Peers = 1024
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 5 * time.Minute
	}
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: NewHTTPTransport(o.IdleTimeout)}
	}
	peers, err := lru.New[string, *procedures](o.Peers)
	return &Client{http: o.HTTP, peers: peers}, errors.Wrap(err, "peer client")
}

// NewHTTPTransport returns an HTTP/2 transport for peers.
func NewHTTPTransport(idle time.Duration) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:          &protocols,
		IdleConnTimeout:    idle,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			// A connection that went silent is closed, so that the next call opens
			// a new one.
			SendPingTimeout: 15 * time.Second,
			PingTimeout:     2 * time.Second,
		},
	}
}

func (c *Client) peer(address string) *procedures {
	if p, ok := c.peers.Get(address); ok {
		return p
	}
	p := &procedures{
		probe:    procedure[membership.Message, membership.Message](c, address, pathProbe),
		indirect: procedure[membership.Message, membership.Message](c, address, pathIndirectProbe),
		digest:   procedure[membership.Message, membership.Message](c, address, pathDigest),
		push:     procedure[propagation.Push, propagation.PushReply](c, address, pathPush),
		pull:     procedure[propagation.Pull, propagation.PullReply](c, address, pathPull),
		status:   procedure[StatusRequest, propagation.StatusReply](c, address, pathStatus),
	}
	c.peers.Add(address, p)
	return p
}

func procedure[Request, Reply any](c *Client, address, path string) *connect.Client[Request, Reply] {
	return connect.NewClient[Request, Reply](c.http, "http://"+address+path,
		connect.WithCodec(Codec{}), connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessage))
}

func call[Request, Reply any](ctx context.Context, client *connect.Client[Request, Reply], request *Request) (Reply, error) {
	reply, err := client.CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		var none Reply
		return none, errors.Wrap(core.ErrUnavailable, err.Error())
	}
	return *reply.Msg, nil
}

// Probe probes a peer.
func (c *Client) Probe(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	return call(ctx, c.peer(address).probe, &m)
}

// IndirectProbe asks a peer to probe another one.
func (c *Client) IndirectProbe(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	return call(ctx, c.peer(address).indirect, &m)
}

// Digest compares views with a peer.
func (c *Client) Digest(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	return call(ctx, c.peer(address).digest, &m)
}

// Push sends updates of the configuration to a peer.
func (c *Client) Push(ctx context.Context, address string, p propagation.Push) (propagation.PushReply, error) {
	return call(ctx, c.peer(address).push, &p)
}

// Pull fetches updates of the configuration from a peer.
func (c *Client) Pull(ctx context.Context, address string, p propagation.Pull) (propagation.PullReply, error) {
	return call(ctx, c.peer(address).pull, &p)
}

// Status asks a peer for the revisions in force in its data centre.
func (c *Client) Status(ctx context.Context, address string) (propagation.StatusReply, error) {
	return call(ctx, c.peer(address).status, &StatusRequest{})
}
