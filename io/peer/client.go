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

// maxMessageSize is the largest message in bytes. A full configuration of the design size
// has about 2 MB.
const maxMessageSize = 16 << 20

// maxHeaderSize is the largest header of a reply in bytes, uncompressed. Replies have a few short fields.
const maxHeaderSize = 64 << 10

// Transport makes calls to other instances. A call returns by the deadline of its context.
// An error means that there is no reply.
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
	// MaxPeers is the maximum number of peers whose connections are kept; 0 uses 1,024.
	MaxPeers int
	// IdleTimeout is the time after which unused connections are closed; 0 uses five
	// minutes, because in a data centre with 113 members each member probes each other
	// one about every two minutes.
	IdleTimeout time.Duration
	// TLS is the configuration of connections to peers; nil uses HTTP/2 without TLS.
	TLS *tls.Config
	// Options apply to all procedures, such as the interceptor of NewClockInterceptor.
	Options []connect.ClientOption
	// Dial replaces the dialer, for example to measure traffic; nil uses the default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls other instances over HTTP/2. Each peer has its own transport, so that its
// connection can be replaced after a call without a reply: a connection can stay silent
// although new connections to the same peer work. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	peers   *lru.Cache[string, *peerClient]
}

var _ Transport = (*Client)(nil)

type messageClient = connect.Client[membership.Message, membership.Message]

// peerClient holds the transport and the procedures of one peer.
type peerClient struct {
	transport               *http.Transport
	probe, indirect, digest *messageClient
	push                    *connect.Client[propagation.Push, propagation.PushReply]
	pull                    *connect.Client[propagation.Pull, propagation.PullReply]
	status                  *connect.Client[propagation.StatusRequest, propagation.StatusReply]
	forward                 *connect.Client[ForwardRequest, ForwardReply]
}

// NewClient returns a client. It opens connections on demand.
func NewClient(o ClientOptions) (*Client, error) {
	if o.MaxPeers == 0 {
		o.MaxPeers = 1024
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 5 * time.Minute
	}
	peers, err := lru.NewWithEvict(o.MaxPeers, func(_ string, p *peerClient) { p.transport.CloseIdleConnections() })
	return &Client{options: o, peers: peers}, errors.Wrap(err, "create peer client")
}

// Close closes idle connections.
func (c *Client) Close() { c.peers.Purge() }

func (c *Client) newTransport() *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(c.options.TLS == nil)
	protocols.SetHTTP2(c.options.TLS != nil)
	return &http.Transport{
		Protocols: &protocols, TLSClientConfig: c.options.TLS, DialContext: c.options.Dial, IdleConnTimeout: c.options.IdleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: maxHeaderSize,
	}
}

func (c *Client) peer(address string) *peerClient {
	if p, ok := c.peers.Get(address); ok {
		return p
	}
	transport := c.newTransport()
	client := &http.Client{Transport: transport}
	base := "http://" + address
	if c.options.TLS != nil {
		base = "https://" + address
	}
	p := &peerClient{
		transport: transport,
		probe:     newProcedure[membership.Message, membership.Message](c, client, base, pathProbe),
		indirect:  newProcedure[membership.Message, membership.Message](c, client, base, pathIndirectProbe),
		digest:    newProcedure[membership.Message, membership.Message](c, client, base, pathDigest),
		push:      newProcedure[propagation.Push, propagation.PushReply](c, client, base, pathPush),
		pull:      newProcedure[propagation.Pull, propagation.PullReply](c, client, base, pathPull),
		status:    newProcedure[propagation.StatusRequest, propagation.StatusReply](c, client, base, pathStatus),
		forward:   newProcedure[ForwardRequest, ForwardReply](c, client, base, PathForward),
	}
	// A concurrent call may have added the peer.
	if earlier, found, _ := c.peers.PeekOrAdd(address, p); found {
		return earlier
	}
	return p
}

func newProcedure[Request, Reply any](c *Client, client *http.Client, base, path string) *connect.Client[Request, Reply] {
	return connect.NewClient[Request, Reply](client, base+path,
		connect.WithCodec(Codec{}), connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessageSize),
		connect.WithClientOptions(c.options.Options...))
}

// call makes one call. If the context ends without a reply, later calls to the peer use a new
// connection. All errors wrap core.ErrUnavailable.
func call[Request, Reply any](
	ctx context.Context, c *Client, address string,
	selectProcedure func(*peerClient) *connect.Client[Request, Reply], request *Request,
) (Reply, error) {
	p := c.peer(address)
	reply, err := selectProcedure(p).CallUnary(ctx, connect.NewRequest(request))
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
	return call(ctx, c, address, func(p *peerClient) *messageClient { return p.probe }, &m)
}

// IndirectProbe asks a peer to probe another one.
func (c *Client) IndirectProbe(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	return call(ctx, c, address, func(p *peerClient) *messageClient { return p.indirect }, &m)
}

// Digest exchanges a digest of the membership with a peer.
func (c *Client) Digest(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	return call(ctx, c, address, func(p *peerClient) *messageClient { return p.digest }, &m)
}

// Push sends configuration updates to a peer.
func (c *Client) Push(ctx context.Context, address string, p propagation.Push) (propagation.PushReply, error) {
	return call(ctx, c, address, func(p *peerClient) *connect.Client[propagation.Push, propagation.PushReply] { return p.push }, &p)
}

// Pull fetches configuration updates from a peer.
func (c *Client) Pull(ctx context.Context, address string, p propagation.Pull) (propagation.PullReply, error) {
	return call(ctx, c, address, func(p *peerClient) *connect.Client[propagation.Pull, propagation.PullReply] { return p.pull }, &p)
}

// Status asks a peer which revisions are in force.
func (c *Client) Status(ctx context.Context, address string, r propagation.StatusRequest) (propagation.StatusReply, error) {
	return call(ctx, c, address, func(p *peerClient) *connect.Client[propagation.StatusRequest, propagation.StatusReply] {
		return p.status
	}, &r)
}
