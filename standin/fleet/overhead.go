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

const (
	packetHeader   = 40 // bytes of an IPv4 and a TCP header without options
	packetsPerCall = 4  // approximately: request, reply and an acknowledgement of each
)

// Overhead is the cost of calls beyond their encoded bodies. MeasureOverhead determines it
// on loopback.
type Overhead struct {
	// CallBytes is the number of HTTP bytes of a call on an open connection, in both
	// directions and without the bodies. ConnectBytes is the number of bytes that a
	// new connection adds.
	CallBytes    float64
	ConnectBytes float64
	// PacketBytes is the size of the IP and TCP headers of a call, computed from the
	// number of its packets.
	PacketBytes float64
	// CallTime is the processor time of a call, the sum of both ends.
	CallTime time.Duration
	// ConnectionBytes is the memory of an open connection, the sum of both ends.
	ConnectionBytes float64
	// HeadBytes is the number of HTTP bytes of a read of the head row, in both
	// directions.
	HeadBytes float64
	// HeadTime is the processor time of a read of the head row, the sum of both ends.
	HeadTime time.Duration
}

// countingConn is a connection that counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// echoServer returns membership messages as received, and empty replies to other calls.
type echoServer struct{}

var _ peer.Server = echoServer{}

// Probe returns the message.
func (echoServer) Probe(_ context.Context, m membership.Message) (membership.Message, error) {
	return m, nil
}

// IndirectProbe returns the message.
func (echoServer) IndirectProbe(_ context.Context, m membership.Message) (membership.Message, error) {
	return m, nil
}

// Digest returns the message.
func (echoServer) Digest(_ context.Context, m membership.Message) (membership.Message, error) {
	return m, nil
}

// Push returns an empty reply.
func (echoServer) Push(context.Context, propagation.Push) (propagation.PushReply, error) {
	return propagation.PushReply{}, nil
}

// Pull returns an empty reply.
func (echoServer) Pull(context.Context, propagation.Pull) (propagation.PullReply, error) {
	return propagation.PullReply{}, nil
}

// Status returns an empty reply.
func (echoServer) Status(context.Context, propagation.StatusRequest) (propagation.StatusReply, error) {
	return propagation.StatusReply{}, nil
}

// Numbers of calls and connections that MeasureOverhead averages over.
const (
	loopbackCalls       = 3000
	loopbackHeadReads   = loopbackCalls / 3
	loopbackConnections = 100
)

// MeasureOverhead measures calls between the peer client and servers, and between the
// table client and the table stand-in, all on loopback.
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

// startEchoServer serves on a free loopback port until stop is called.
func startEchoServer() (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := peer.NewHTTPServer(peer.NewHandler(echoServer{}))
	go func() { _ = s.Serve(listener) }()
	return listener.Addr().String(), func() { _ = s.Close() }, nil
}

func sampleMessage() membership.Message {
	return membership.Message{
		From: membership.Record{ID: "dc0-0001", Address: "10.0.0.1:7400", DataCentre: "dc0"}, Applied: 14000, Head: 14000, HeadAgeMs: 900, View: 1 << 31,
	}
}

// measureCalls measures probes over one connection.
func (o *Overhead) measureCalls(ctx context.Context) error {
	address, stop, err := startEchoServer()
	if err != nil {
		return err
	}
	defer stop()
	var bytes atomic.Int64
	dialer := net.Dialer{}
	client, err := peer.NewClient(peer.ClientOptions{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return countingConn{conn, &bytes}, err
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
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := client.Probe(callCtx, address, m)
		return err
	}
	if err := probe(); err != nil {
		return err
	}
	first := float64(bytes.Swap(0))
	start := processorTime()
	for range loopbackCalls {
		if err := probe(); err != nil {
			return err
		}
	}
	o.CallTime = (processorTime() - start) / loopbackCalls
	perCall := float64(bytes.Load()) / loopbackCalls
	o.CallBytes = perCall - 2*float64(len(body))
	o.ConnectBytes = first - perCall
	return nil
}

// measureConnections measures the memory of connections, each to a server of its own.
func (o *Overhead) measureConnections(ctx context.Context) error {
	var addresses []string
	for range loopbackConnections {
		address, stop, err := startEchoServer()
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
		return fmt.Errorf("read the head row over loopback: %w", err)
	}
	bytes.Store(0)
	start := processorTime()
	for range loopbackHeadReads {
		if _, err := store.Head(ctx); err != nil {
			return fmt.Errorf("read the head row over loopback: %w", err)
		}
	}
	o.HeadTime = (processorTime() - start) / loopbackHeadReads
	o.HeadBytes = float64(bytes.Load()) / loopbackHeadReads
	return nil
}

// countingListener is a listener that counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a countingConn.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

// processorTime returns the user and system time of this process, or 0 if the system
// doesn't report it.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of live heap and stacks after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
