package platform

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports for programs that get their addresses before they start. They lie below the
// system's range of ephemeral ports, from which an outgoing connection could take a port
// before its program listens on it.
const (
	firstPort = 12_000
	portCount = 20_000
	// portsPerProcess is the distance between the first ports of processes with consecutive
	// IDs, so that concurrent processes try different ports.
	portsPerProcess = 101
)

// portsTried counts the ports that this process has tried.
var portsTried atomic.Int64

// FreePorts returns n loopback ports that are free for both TCP and UDP. It returns no port
// twice before it has tried all ports of the range.
func FreePorts(n int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < n; tries++ {
		if tries == portCount {
			return nil, errors.New("no free ports are left")
		}
		port := firstPort + (os.Getpid()*portsPerProcess+int(portsTried.Add(1)))%portCount
		if isFree("127.0.0.1:" + strconv.Itoa(port)) {
			ports = append(ports, port)
		}
	}
	return ports, nil
}

func isFree(address string) bool {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	_ = l.Close() // the caller's program listens on it later
	c, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = c.Close() // the caller's program listens on it later
	return true
}
