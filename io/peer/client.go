package peer

import (
	"context"
	"crypto/tls"
	"net"
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

// Transport makes calls to other instances. A call ends by its context's
// deadline; an error means that no reply arrived.
type Transport interface {
	Probe(ctx context.Context, address string, m membership.Message) (membership.Message, error)
	IndirectProbe(ctx context.Context, address string, m membership.Message) (membership.Message, error)
	Digest(ctx context.Context, address string, m membership.Message) (membership.Message, error)
	Push(ctx context.Context, address string, p propagation.Push) (propagation.PushReply, error)
	Pull(ctx context.Context, address string, p propagation.Pull) (propagation.PullReply, error)
	Status(ctx context.Context, address string, r propagation.StatusRequest) (propagation.StatusReply, error)
}

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	// Peers bounds the number of peers whose clients are kept; 0 uses 1,024.
	Peers int
	// IdleTimeout closes connections that were not used for as long; 0 uses five
	// minutes, because a member of a data centre of 113 probes each of the others
	// about every two minutes.
	IdleTimeout time.Duration
	// TLS is the configuration of connections to peers; nil speaks plain HTTP/2.
	TLS *tls.Config
	// Options hold for all procedures, such as the interceptor of NewClockInterceptor.
	Options []connect.ClientOption
	// Dial replaces the dialer, for measuring.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls other instances over HTTP/2. Each peer has its own transport, so
// that the connection of a call without a reply can be replaced: a connection may
// go silent for good while new ones work.
type Client struct {
	options ClientOptions
	peers   *lru.Cache[string, *procedures]
}

var _ Transport = (*Client)(nil)

type messageClient = connect.Client[membership.Message, membership.Message]

// procedures are the clients for one peer.
type procedures struct {
	transport               *http.Transport
	probe, indirect, digest *messageClient
	push                    *connect.Client[propagation.Push, propagation.PushReply]
	pull                    *connect.Client[propagation.Pull, propagation.PullReply]
	status                  *connect.Client[propagation.StatusRequest, propagation.StatusReply]
	forward                 *connect.Client[ForwardRequest, ForwardReply]
}

// NewClient returns a client. It opens connections when they are needed.
func NewClient(o ClientOptions) (*Client, error) {
	if o.Peers == 0 {
		o.Peers = 1024
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 5 * time.Minute
	}
	peers, err := lru.NewWithEvict(o.Peers, func(_ string, p *procedures) { p.transport.CloseIdleConnections() })
	return &Client{options: o, peers: peers}, errors.Wrap(err, "peer client")
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.peers.Purge() }

func (c *Client) newTransport() *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(c.options.TLS == nil)
	protocols.SetHTTP2(c.options.TLS != nil)
	return &http.Transport{
		Protocols: &protocols, TLSClientConfig: c.options.TLS, DialContext: c.options.Dial, IdleConnTimeout: c.options.IdleTimeout, DisableCompression: true,
	}
}

func (c *Client) peer(address string) *procedures {
	if p, ok := c.peers.Get(address); ok {
		return p
	}
	transport := c.newTransport()
	client := &http.Client{Transport: transport}
	base := "http://" + address
	if c.options.TLS != nil {
		base = "https://" + address
	}
	p := &procedures{
		transport: transport,
		probe:     procedure[membership.Message, membership.Message](c, client, base, pathProbe),
		indirect:  procedure[membership.Message, membership.Message](c, client, base, pathIndirectProbe),
		digest:    procedure[membership.Message, membership.Message](c, client, base, pathDigest),
		push:      procedure[propagation.Push, propagation.PushReply](c, client, base, pathPush),
		pull:      procedure[propagation.Pull, propagation.PullReply](c, client, base, pathPull),
		status:    procedure[propagation.StatusRequest, propagation.StatusReply](c, client, base, pathStatus),
		forward:   procedure[ForwardRequest, ForwardReply](c, client, base, PathForward),
	}
	// Another call may have added the peer meanwhile.
	if earlier, found, _ := c.peers.PeekOrAdd(address, p); found {
		return earlier
	}
	return p
}

func procedure[Request, Reply any](c *Client, client *http.Client, base, path string) *connect.Client[Request, Reply] {
	return connect.NewClient[Request, Reply](client, base+path,
		connect.WithCodec(Codec{}), connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessage),
		connect.WithClientOptions(c.options.Options...))
}

// call makes one call. Without a reply in time the peer gets a new connection.
func call[Request, Reply any](
	ctx context.Context, c *Client, address string,
	choose func(*procedures) *connect.Client[Request, Reply], request *Request,
) (Reply, error) {
	p := c.peer(address)
	reply, err := choose(p).CallUnary(ctx, connect.NewRequest(request))
	if err == nil {
		return *reply.Msg, nil
	}
	if current, ok := c.peers.Peek(address); ok && current == p && ctx.Err() != nil {
		c.peers.Remove(address)
	}
	var none Reply
	return none, errors.Wrap(core.ErrUnavailable, err.Error())
}

// Probe probes a peer.
func (c *Client) Probe(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	return call(ctx, c, address, func(p *procedures) *messageClient { return p.probe }, &m)
}

// IndirectProbe asks a peer to probe another one.
func (c *Client) IndirectProbe(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	return call(ctx, c, address, func(p *procedures) *messageClient { return p.indirect }, &m)
}

// Digest compares views with a peer.
func (c *Client) Digest(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	return call(ctx, c, address, func(p *procedures) *messageClient { return p.digest }, &m)
}

// Push sends updates of the configuration to a peer.
func (c *Client) Push(ctx context.Context, address string, p propagation.Push) (propagation.PushReply, error) {
	return call(ctx, c, address, func(p *procedures) *connect.Client[propagation.Push, propagation.PushReply] { return p.push }, &p)
}

// Pull fetches updates of the configuration from a peer.
func (c *Client) Pull(ctx context.Context, address string, p propagation.Pull) (propagation.PullReply, error) {
	return call(ctx, c, address, func(p *procedures) *connect.Client[propagation.Pull, propagation.PullReply] { return p.pull }, &p)
}

// Status asks a peer for revisions in force.
func (c *Client) Status(ctx context.Context, address string, r propagation.StatusRequest) (propagation.StatusReply, error) {
	return call(ctx, c, address, func(p *procedures) *connect.Client[propagation.StatusRequest, propagation.StatusReply] {
		return p.status
	}, &r)
}
