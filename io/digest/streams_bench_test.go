package digest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/common/random"
	"gorseline/core/membership"
	"gorseline/core/streamstart"
)

// countingConn counts what is written to it, and sends it to sink on loopback.
type countingConn struct {
	net.PacketConn
	sink                    net.PacketConn
	bytes, packets, distant int
	data                    [][]byte
	isLocal                 map[string]bool
}

func (c *countingConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.bytes += len(b)
	c.packets++
	if !c.isLocal[to.String()] {
		c.distant += len(b)
	}
	c.data = append(c.data[:min(len(c.data), 100)], b)
	return c.PacketConn.WriteTo(b, c.sink.LocalAddr())
}

// runSink reads what was sent until the socket is closed.
func (c *countingConn) runSink() {
	buffer := make([]byte, maxPacketSize)
	for {
		if _, _, err := c.sink.ReadFrom(buffer); err != nil {
			return
		}
	}
}

// newCountedNode returns a node with peers in 6 data centres that counts what it sends.
func newCountedNode(b *testing.B, peers int, view StreamSource) (*Node, *countingConn) {
	b.Helper()
	var sockets [2]net.PacketConn
	for i := range sockets {
		socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = socket.Close() })
		sockets[i] = socket
	}
	conn := &countingConn{PacketConn: sockets[0], sink: sockets[1], isLocal: map[string]bool{}}
	go conn.runSink()
	n := New(Options{
		Self: membership.Record{ID: "n", Address: "10.0.0.1:70", DataCentre: "dc0"}, Conn: conn,
		Clock: core.NewProcessClock(), Log: &log.Logger{Handler: discard.Default}, Catchup: catchup.New(random.New(1)),
		Snapshots: noSnapshots{}, Streams: view,
	})
	var list []peer
	for i := range peers {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:70", 1+i/250, 1+i%250))
		list = append(list, peer{core.InstanceID(fmt.Sprintf("n%d", i)), core.DataCentre(fmt.Sprintf("dc%d", i%6)), address, 0})
		conn.isLocal[address.String()] = i%6 == 0
	}
	n.streams.setPeers(list)
	return n, conn
}

// BenchmarkRecordTraffic measures what an instance sends while a service has several versions, and
// takes the records that it receives for as many. A second has 17.6 streams, those of one of 680
// instances at 12,000 requests a second.
func BenchmarkRecordTraffic(b *testing.B) {
	for _, peers := range []int{6, 8, 59, 679} {
		b.Run(fmt.Sprintf("Instances%d", peers+1), func(b *testing.B) {
			n, conn := newCountedNode(b, peers, &streamView{clock: core.NewProcessClock(), versions: []core.SoftwareVersion{"v1", "v2"}})
			rng := rand.New(rand.NewPCG(1, 1))
			const perSecond = 17.6
			records, seconds := 0, 0.0
			var batch []streamstart.Record
			flush := func() {
				if len(batch) > 0 {
					n.streams.sendBatch(batch)
				}
				batch = batch[:0]
			}
			for b.Loop() {
				gap := rng.ExpFloat64() / perSecond
				if seconds += gap; gap > startBatchInterval.Seconds() {
					flush()
				}
				r, _ := n.streams.register.Start(n.opts.Clock.Now(), core.StreamStart{
					Service: "chat", Request: core.RequestID(fmt.Sprintf("request-%d", records)),
					Version: core.SoftwareVersion([]string{"v1", "v2"}[records%2]), Deadline: n.opts.Clock.Now().Add(20 * time.Second),
				})
				batch = append(batch, r)
				records++
				for range min(len(conn.data), 3) {
					p, err := decodePacket(conn.data[len(conn.data)-1])
					if err != nil {
						b.Fatal(err)
					}
					n.streams.handle(p, nil)
				}
			}
			flush()
			b.ReportMetric(float64(conn.bytes)/seconds, "B/s")
			b.ReportMetric(float64(conn.distant)/seconds, "distantB/s")
			b.ReportMetric(float64(conn.packets)/seconds, "packets/s")
			b.ReportMetric(float64(conn.bytes)/float64(conn.packets), "B/packet")
		})
	}
}
