package demo_test

import (
	"net"
	"strconv"
	"testing"

	"tanagerroad/io/demo"
)

// TestFreePortsAreKeptFromOthers: no port is given out twice or lies where
// outgoing connections get theirs.
func TestFreePortsAreKeptFromOthers(t *testing.T) {
	const lowestOutgoing = 32768
	seen := map[string]bool{}
	for range 10 {
		addresses, err := demo.Free(20)
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range addresses {
			_, port, err := net.SplitHostPort(address)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := strconv.Atoi(port); err != nil || n >= lowestOutgoing {
				t.Errorf("%s: %v, want a port below %d", address, err, lowestOutgoing)
			}
			if seen[address] {
				t.Errorf("%s was given out twice", address)
			}
			seen[address] = true
		}
	}
}
