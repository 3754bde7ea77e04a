package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are taken from below the ephemeral port range. Otherwise an outgoing connection
// could occupy the port of a stopped process, which then could not listen on it again.
const (
	firstPort     = 16384
	lastPort      = 32767
	blockSize     = 64  // ports; the first one is kept open to reserve the block
	maxBlockTries = 200 // random blocks tried before giving up
)

// ports is the block that this process takes ports from.
var ports struct {
	sync.Mutex
	next, end int
	reserved  []net.Listener // listeners on the first ports of reserved blocks, never closed
}

// FreeAddresses returns n loopback addresses that nothing listens on. While this process
// runs, no other call returns them, in this process or in another one.
func FreeAddresses(n int) ([]string, error) {
	ports.Lock()
	defer ports.Unlock()
	var out []string
	for len(out) < n {
		if ports.next == ports.end {
			if err := reserveBlock(); err != nil {
				return nil, err
			}
		}
		address := loopback(ports.next)
		ports.next++
		if l, err := net.Listen("tcp", address); err == nil {
			out = append(out, address)
			if err := l.Close(); err != nil {
				return nil, fmt.Errorf("find free address: %w", err)
			}
		}
	}
	return out, nil
}

// reserveBlock reserves a random block of ports by listening on its first port, so that
// other processes can't reserve it.
func reserveBlock() error {
	const blocks = (lastPort + 1 - firstPort) / blockSize
	var lastErr error
	for range maxBlockTries {
		first := firstPort + rand.IntN(blocks)*blockSize
		listener, err := net.Listen("tcp", loopback(first))
		if err != nil {
			lastErr = err
			continue
		}
		ports.reserved = append(ports.reserved, listener)
		ports.next, ports.end = first+1, first+blockSize
		return nil
	}
	return fmt.Errorf("find free address: no free block of %d ports found: %w", blockSize, lastErr)
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
