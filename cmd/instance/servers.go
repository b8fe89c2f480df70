package instance

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"gorseline/core"
	"gorseline/core/timeline"
	"gorseline/io/caller"
	"gorseline/io/certificate"
	"gorseline/io/exposition"
	"gorseline/io/operator"
	"gorseline/io/peer"
)

// listeners holds the open ports. They are opened before the other components are made,
// because the membership record of the instance contains their addresses.
type listeners struct {
	callers, operators, peers    net.Listener
	callersAddress, peersAddress string
}

func newListeners(lc fx.Lifecycle, s Settings) (*listeners, error) {
	var l listeners
	for _, port := range []struct {
		name, address string
		listener      *net.Listener
	}{
		{"--callers-listen", s.CallersListen, &l.callers},
		{"--operators-listen", s.OperatorsListen, &l.operators},
		{"--peers-listen", s.PeersListen, &l.peers},
	} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			return nil, errors.Wrap(err, port.name)
		}
		*port.listener = listener
		lc.Append(fx.StopHook(func() { _ = listener.Close() })) // the server usually has closed it already
	}
	l.callersAddress, l.peersAddress = s.CallersAddress, s.PeersAddress
	if l.callersAddress == "" {
		l.callersAddress = l.callers.Addr().String()
	}
	if l.peersAddress == "" {
		l.peersAddress = l.peers.Addr().String()
	}
	return &l, nil
}

// servers runs the HTTP servers of the three ports.
type servers struct {
	listeners *listeners
	registry  metrics.Registry
	log       log.Interface
}

type serverInputs struct {
	fx.In

	Lifecycle     fx.Lifecycle
	Settings      Settings
	Listeners     *listeners
	Control       *control
	Serving       *serving
	Authority     *leaseAuthority
	Events        *eventFlusher
	Shutdown      *shutdown
	Clock         core.ClockProvider
	TimelineClock *timeline.Clock
	Recorder      core.Recorder
	Metrics       metrics.Registry
	Log           log.Interface
	Certificates  *certificate.Source
}

func newServers(in serverInputs) *servers {
	s := &servers{listeners: in.Listeners, registry: in.Metrics, log: in.Log}
	callers := caller.NewHandler(caller.Options{
		Configuration: in.Control.applier, Dispatcher: in.Serving.dispatcher, Addresses: in.Control,
		Admission: in.Shutdown, Clock: in.Clock, MaxBodyBytes: in.Settings.MaxBody,
	})
	operators := http.NewServeMux()
	operators.Handle("/gorseline.Operator/", operator.NewHandler(newOperatorServer(in)))
	operators.Handle("/metrics", exposition.NewHandler(in.Metrics))
	operators.Handle("/health", operator.NewHealthHandler(func() *core.Refusal { return nil }))
	operators.Handle("/ready", operator.NewHealthHandler(in.Shutdown.ready))
	peers := http.NewServeMux()
	peers.Handle("/gorseline.Peer/", peer.NewHandler(
		in.Control.member, connect.WithInterceptors(peer.NewClockInterceptor(in.TimelineClock)),
	))
	peers.Handle(peer.PathForward, peer.NewForwardHandler(in.Authority.forwarder))
	s.serve(in, in.Listeners.callers, in.Shutdown.admitRequests(callers), in.Certificates.ServerConfig(), &http.Server{
		ReadHeaderTimeout: in.Settings.HeaderTimeout, ReadTimeout: in.Settings.BodyTimeout,
		IdleTimeout: in.Settings.IdleTimeout, MaxHeaderBytes: in.Settings.MaxHeader,
	})
	s.serve(in, in.Listeners.operators, operators, in.Certificates.MutualTLSConfig(), &http.Server{ReadHeaderTimeout: in.Settings.HeaderTimeout})
	s.serve(in, in.Listeners.peers, peers, in.Certificates.MutualTLSConfig(), peer.NewHTTPServer(nil))
	return s
}

// shutdownTimeout bounds the closing of a server. After Instance.Leave only idle connections
// are left.
const shutdownTimeout = 2 * time.Second

func (s *servers) serve(in serverInputs, l net.Listener, h http.Handler, tlsConfig *tls.Config, server *http.Server) {
	server.Handler, server.TLSConfig = h, tlsConfig
	in.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go s.run(server, l)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
			defer cancel()
			if err := server.Shutdown(ctx); err != nil {
				return server.Close()
			}
			return nil
		},
	})
}

func (s *servers) run(server *http.Server, l net.Listener) {
	serve := server.Serve
	if server.TLSConfig != nil {
		serve = func(l net.Listener) error { return server.ServeTLS(l, "", "") }
	}
	if err := serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.log.WithError(err).Error("server: serving the port failed")
	}
}
