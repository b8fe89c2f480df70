package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"gorseline/core/configuration"
	"gorseline/core/membership"
	"gorseline/core/propagation"
	"gorseline/io/peer"
	tableclient "gorseline/io/table"
	"gorseline/standin/table"
)

// packetHeader is the size of an IPv4 and a TCP header without options. A call
// takes about four packets: request, reply and an acknowledgement of each.
const (
	packetHeader   = 40
	packetsPerCall = 4
)

// Overhead is what a call costs above its encoded body, measured on loopback.
type Overhead struct {
	// CallBytes are HTTP bytes of one call in both directions without the bodies,
	// on a connection in use. ConnectBytes are those of a new connection.
	CallBytes    float64
	ConnectBytes float64
	// PacketBytes are IP and TCP headers of one call, computed.
	PacketBytes float64
	// CallTime is the processor time of one call, at both ends together.
	CallTime time.Duration
	// ConnectionBytes is the memory of one open connection, at both ends together.
	ConnectionBytes float64
	// HeadBytes are the HTTP bytes of one read of the head row.
	HeadBytes float64
	// HeadTime is the processor time of one read of the head row, at both ends.
	HeadTime time.Duration
}

// counted is a connection that counts its bytes.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// server answers calls with the message that it got.
type server struct{}

var _ peer.Server = server{}

// Probe returns the message.
func (server) Probe(_ context.Context, m membership.Message) (membership.Message, error) {
	return m, nil
}

// IndirectProbe returns the message.
func (server) IndirectProbe(_ context.Context, m membership.Message) (membership.Message, error) {
	return m, nil
}

// Digest returns the message.
func (server) Digest(_ context.Context, m membership.Message) (membership.Message, error) {
	return m, nil
}

// Push returns an empty reply.
func (server) Push(context.Context, propagation.Push) (propagation.PushReply, error) {
	return propagation.PushReply{}, nil
}

// Pull returns an empty reply.
func (server) Pull(context.Context, propagation.Pull) (propagation.PullReply, error) {
	return propagation.PullReply{}, nil
}

// Status returns an empty reply.
func (server) Status(context.Context, propagation.StatusRequest) (propagation.StatusReply, error) {
	return propagation.StatusReply{}, nil
}

// Numbers of calls and connections of the measurement.
const (
	loopbackCalls       = 3000
	loopbackConnections = 100
)

// MeasureOverhead measures calls between a client and servers on loopback.
func MeasureOverhead(ctx context.Context) (Overhead, error) {
	o := Overhead{PacketBytes: packetHeader * packetsPerCall}
	if err := o.measureCalls(ctx); err != nil {
		return o, err
	}
	if err := o.measureConnections(ctx); err != nil {
		return o, err
	}
	return o, o.measureHead(ctx)
}

func serve() (string, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := peer.NewHTTPServer(peer.NewHandler(server{}))
	go func() { _ = s.Serve(listener) }()
	return listener.Addr().String(), func() { _ = s.Close() }, nil
}

func sampleMessage() membership.Message {
	return membership.Message{
		From: membership.Record{ID: "dc0-0001", Address: "10.0.0.1:7400", DataCentre: "dc0"}, Applied: 14000, Head: 14000, HeadAgeMs: 900, View: 1 << 31,
	}
}

func (o *Overhead) measureCalls(ctx context.Context) error {
	address, stop, err := serve()
	if err != nil {
		return err
	}
	defer stop()
	var bytes atomic.Int64
	dialer := net.Dialer{}
	client, err := peer.NewClient(peer.ClientOptions{Dial: func(ctx context.Context, network, to string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, to)
		return counted{conn, &bytes}, err
	}})
	if err != nil {
		return err
	}
	defer client.Close()
	m := sampleMessage()
	body, err := peer.Codec{}.Marshal(m)
	if err != nil {
		return err
	}
	probe := func() error {
		bounded, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := client.Probe(bounded, address, m)
		return err
	}
	if err := probe(); err != nil {
		return err
	}
	first := float64(bytes.Swap(0))
	began := processorTime()
	for range loopbackCalls {
		if err := probe(); err != nil {
			return err
		}
	}
	o.CallTime = (processorTime() - began) / loopbackCalls
	perCall := float64(bytes.Load()) / loopbackCalls
	o.CallBytes = perCall - 2*float64(len(body))
	o.ConnectBytes = first - perCall
	return nil
}

func (o *Overhead) measureConnections(ctx context.Context) error {
	var addresses []string
	for range loopbackConnections {
		address, stop, err := serve()
		if err != nil {
			return err
		}
		defer stop()
		addresses = append(addresses, address)
	}
	client, err := peer.NewClient(peer.ClientOptions{})
	if err != nil {
		return err
	}
	defer client.Close()
	before := memoryInUse()
	for _, address := range addresses {
		if _, err := client.Probe(ctx, address, sampleMessage()); err != nil {
			return err
		}
	}
	o.ConnectionBytes = (memoryInUse() - before) / loopbackConnections
	return nil
}

// measureHead measures reads of the head row through the table client.
func (o *Overhead) measureHead(ctx context.Context) error {
	var bytes atomic.Int64
	s := httptest.NewUnstartedServer(table.New().Handler())
	s.Listener = countingListener{s.Listener, &bytes}
	s.Start()
	defer s.Close()
	store := configuration.NewStore(configuration.Options{Table: tableclient.NewClient(tableclient.ClientOptions{URL: s.URL})})
	if _, err := store.Head(ctx); err != nil {
		return fmt.Errorf("head over loopback: %w", err)
	}
	bytes.Store(0)
	began := processorTime()
	const reads = loopbackCalls / 3
	for range reads {
		if _, err := store.Head(ctx); err != nil {
			return fmt.Errorf("head over loopback: %w", err)
		}
	}
	o.HeadTime = (processorTime() - began) / reads
	o.HeadBytes = float64(bytes.Load()) / reads
	return nil
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a connection that counts its bytes.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return counted{conn, l.bytes}, err
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks after a collection.
func memoryInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
