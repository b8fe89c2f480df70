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

// listeners hold the open ports. Ports are opened first, so that an instance can
// tell its addresses to others.
type listeners struct {
	callers, operators, peers    net.Listener
	callersAddress, peersAddress string
}

func newListeners(lifecycle fx.Lifecycle, s Settings) (*listeners, error) {
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
		lifecycle.Append(fx.StopHook(func() { _ = listener.Close() })) // the server has closed it before
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

// servers serve the three ports.
type servers struct {
	listeners *listeners
	registry  metrics.Registry
	log       log.Interface
}

type serverInputs struct {
	fx.In

	Lifecycle   fx.Lifecycle
	Settings    Settings
	Listeners   *listeners
	Control     *control
	Serving     *serving
	Authorities *authorities
	Events      *eventFlusher
	Leaving     *leaving
	Clock       core.ClockProvider
	Stamps      *timeline.Clock
	Recorder    core.Recorder
	Metrics     metrics.Registry
	Log         log.Interface
	Secure      *certificate.Source
}

func newServers(in serverInputs) *servers {
	s := &servers{listeners: in.Listeners, registry: in.Metrics, log: in.Log}
	callers := caller.NewHandler(caller.Options{
		Configuration: in.Control.applier, Dispatcher: in.Serving.dispatcher, Addresses: in.Control,
		Gate: in.Leaving, Clock: in.Clock, MaxBody: in.Settings.MaxBody,
	})
	operators := http.NewServeMux()
	operators.Handle("/gorseline.Operator/", operator.NewHandler(newConsole(in)))
	operators.Handle("/metrics", exposition.NewHandler(in.Metrics))
	operators.Handle("/health", operator.NewHealthHandler(func() *core.Refusal { return nil }))
	operators.Handle("/ready", operator.NewHealthHandler(in.Leaving.ready))
	peers := http.NewServeMux()
	peers.Handle("/gorseline.Peer/", peer.NewHandler(
		in.Control.member, connect.WithInterceptors(peer.NewClockInterceptor(in.Stamps)),
	))

	peers.Handle(peer.PathForward, peer.NewForwardHandler(in.Authorities.forwarder))

	s.serve(in, in.Listeners.callers, in.Leaving.counted(callers), in.Secure.ServerConfig(), &http.Server{
		ReadHeaderTimeout: in.Settings.HeaderTimeout, ReadTimeout: in.Settings.BodyTimeout,
		IdleTimeout: in.Settings.IdleTimeout, MaxHeaderBytes: in.Settings.MaxHeader,
	})
	s.serve(in, in.Listeners.operators, operators, in.Secure.MutualTLSConfig(), &http.Server{ReadHeaderTimeout: in.Settings.HeaderTimeout})
	s.serve(in, in.Listeners.peers, peers, in.Secure.MutualTLSConfig(), peer.NewHTTPServer(nil))
	return s
}

// stopWait bounds the end of idle connections; no request is left when it begins.
const stopWait = 2 * time.Second

func (s *servers) serve(in serverInputs, l net.Listener, h http.Handler, secure *tls.Config, server *http.Server) {
	server.Handler, server.TLSConfig = h, secure
	in.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go s.run(server, l)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, stopWait)
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
		s.log.WithError(err).Error("server: port closed")
	}
}
