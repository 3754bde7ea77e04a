package demo_test

import (
	"io"
	"net"
	"sync"
)

// relay passes TCP connections on to a target. Freeze makes the established
// ones go silent for good, while new ones work: something between the two ends
// has lost track of them.
type relay struct {
	address string
	mu      sync.Mutex
	gates   []chan struct{} // closed: frozen
}

func newRelay(address, target string) (*relay, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	r := &relay{address: listener.Addr().String()}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			gate := make(chan struct{})
			r.mu.Lock()
			r.gates = append(r.gates, gate)
			r.mu.Unlock()
			go pass(in, out, gate)
			go pass(out, in, gate)
		}
	}()
	return r, func() { _ = listener.Close() }, nil
}

// pass copies until an end closes; from the freeze on it swallows what comes.
func pass(from, to net.Conn, gate chan struct{}) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil && err != io.EOF {
			return
		}
		select {
		case <-gate:
			if err != nil {
				<-make(chan struct{}) // not even the end gets through
			}
			continue
		default:
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// freeze silences the connections of this moment; it returns how many.
func (r *relay) freeze() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.gates)
	for _, gate := range r.gates {
		close(gate)
	}
	r.gates = nil
	return n
}
