package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are given out below the range from which systems draw the near end of
// outgoing connections: a process that starts again finds its port still free.
const (
	firstPort = 16384
	lastPort  = 32767
	blockSize = 64  // ports, the first of which marks the block as taken
	blockLook = 200 // blocks that are looked at before giving up
)

// ports is the block that this process draws from.
var ports struct {
	sync.Mutex
	next, end int
	marks     []net.Listener // kept open for the life of the process
}

// Free returns loopback addresses that nobody listens on and that no other
// process is given by Free while this one lives.
func Free(n int) ([]string, error) {
	ports.Lock()
	defer ports.Unlock()
	var out []string
	for len(out) < n {
		if ports.next == ports.end {
			if err := takeBlock(); err != nil {
				return nil, err
			}
		}
		address := loopback(ports.next)
		ports.next++
		if l, err := net.Listen("tcp", address); err == nil {
			out = append(out, address)
			if err := l.Close(); err != nil {
				return nil, fmt.Errorf("free address: %w", err)
			}
		}
	}
	return out, nil
}

func takeBlock() error {
	const blocks = (lastPort + 1 - firstPort) / blockSize
	var last error
	for range blockLook {
		first := firstPort + rand.IntN(blocks)*blockSize
		mark, err := net.Listen("tcp", loopback(first))
		if err != nil {
			last = err
			continue
		}
		ports.marks = append(ports.marks, mark)
		ports.next, ports.end = first+1, first+blockSize
		return nil
	}
	return fmt.Errorf("free address: no block of %d ports is free: %w", blockSize, last)
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
