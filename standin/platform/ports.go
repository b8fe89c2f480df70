package platform

import (
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// Ports for programs that get their addresses before they start. They lie below the
// system's range of ephemeral ports, from which an outgoing connection could take a port
// before its program listens on it.
const (
	firstPort = 12_000
	portCount = 20_000
	// blockSize is the number of ports that a process reserves at once.
	blockSize = 50
)

// ports are the ports that this process has reserved. A process listens on the first port of
// each of its blocks until it ends, so that no other process uses the block, not even while
// the programs that listen on its ports are down.
var ports struct {
	sync.Mutex
	nextBlock int
	free      []int
	// reserved keeps the listeners from being closed by the garbage collector.
	reserved []net.Listener
}

// FreePorts returns n loopback ports that are free for both TCP and UDP. It returns no port
// twice, and no port that another process has got from it.
func FreePorts(n int) ([]int, error) {
	ports.Lock()
	defer ports.Unlock()
	var list []int
	for len(list) < n {
		if len(ports.free) == 0 {
			if err := reserveBlock(); err != nil {
				return nil, err
			}
			continue
		}
		port := ports.free[0]
		ports.free = ports.free[1:]
		if isFree(loopback(port)) {
			list = append(list, port)
		}
	}
	return list, nil
}

// reserveBlock reserves the next block that no other process has. The lock must be held.
func reserveBlock() error {
	for ; ports.nextBlock < portCount/blockSize; ports.nextBlock++ {
		first := firstPort + ports.nextBlock*blockSize
		l, err := net.Listen("tcp4", loopback(first))
		if err != nil {
			continue // reserved by another process
		}
		ports.reserved = append(ports.reserved, l)
		for port := first + 1; port < first+blockSize; port++ {
			ports.free = append(ports.free, port)
		}
		ports.nextBlock++
		return nil
	}
	return errors.New("no free ports are left")
}

func loopback(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

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
