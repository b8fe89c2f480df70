package platform

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports of programs that are told their addresses before they start. They lie below
// the range that the system gives to outgoing connections, which could take one before its
// program opens it.
const (
	firstPort = 12_000
	portCount = 20_000
	// portsPerProcess sets the first ports of processes apart that run at the same time.
	portsPerProcess = 101
)

// portsTried counts the ports that this process has tried.
var portsTried atomic.Int64

// FreePorts returns ports on which nobody listens over TCP or UDP. It returns none twice
// until all were tried.
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
	_ = l.Close() // the program opens it again
	c, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = c.Close() // the program opens it again
	return true
}
