package demo_test

import (
	"net"
	"strconv"
	"testing"

	"tanagerroad/io/demo"
)

// TestFreeAddresses checks that no address is returned twice and that no port is of the
// ephemeral range, which an outgoing connection could occupy.
func TestFreeAddresses(t *testing.T) {
	const lowestEphemeral = 32768
	seen := map[string]bool{}
	for range 10 {
		addresses, err := demo.FreeAddresses(20)
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range addresses {
			_, port, err := net.SplitHostPort(address)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := strconv.Atoi(port); err != nil || n >= lowestEphemeral {
				t.Errorf("address %s: %v, want a port below %d", address, err, lowestEphemeral)
			}
			if seen[address] {
				t.Errorf("address %s was returned twice", address)
			}
			seen[address] = true
		}
	}
}
