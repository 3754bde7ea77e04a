package relay_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"tanagerroad/io/relay"
)

// startEcho starts a server that sends each line back, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					if _, err := conn.Write(append(lines.Bytes(), '\n')); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// echoes sends a line and reports whether it was sent back within 300 ms, and how
// long that took.
func echoes(conn net.Conn) (bool, time.Duration) {
	started := time.Now()
	if _, err := conn.Write([]byte("x\n")); err != nil {
		return false, 0
	}
	_ = conn.SetReadDeadline(started.Add(300 * time.Millisecond))
	n, err := conn.Read(make([]byte, 8))
	return err == nil && n > 0, time.Since(started)
}

// TestFaults injects each fault in turn and checks which connections still work.
func TestFaults(t *testing.T) {
	r, closeRelay, err := relay.New("127.0.0.1:0", startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	defer closeRelay()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", r.Address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	check := func(what string, conn net.Conn, want bool) time.Duration {
		t.Helper()
		got, took := echoes(conn)
		if got != want {
			t.Errorf("%s: echo received: %v, want %v", what, got, want)
		}
		return took
	}
	first := dial()
	check("no fault", first, true)
	r.Delay(40 * time.Millisecond)
	if took := check("delayed", first, true); took < 80*time.Millisecond {
		t.Errorf("with a delay of 40 ms in each direction the echo took only %s", took)
	}
	r.Delay(0)
	if n := r.Freeze(); n != 1 {
		t.Errorf("%d connections frozen, want 1", n)
	}
	check("frozen", first, false)
	second := dial()
	check("opened after Freeze", second, true)
	r.Blackhole(relay.ToClient)
	check("one direction dropped", second, false)
	third := dial()
	check("opened while one direction is dropped", third, false)
	r.Blackhole()
	check("lost data before the fault ended", second, false)
	fourth := dial()
	check("opened after the fault ended", fourth, true)
	r.Reset()
	check("reset", fourth, false)
	check("opened after Reset", dial(), true)
}
