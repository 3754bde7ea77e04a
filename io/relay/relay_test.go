package relay_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"tanagerroad/io/relay"
)

// echo answers each line with itself.
func echo(t *testing.T) string {
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

// heard reports whether a line comes back soon, and how long that took.
func heard(conn net.Conn) (bool, time.Duration) {
	started := time.Now()
	if _, err := conn.Write([]byte("x\n")); err != nil {
		return false, 0
	}
	_ = conn.SetReadDeadline(started.Add(300 * time.Millisecond))
	n, err := conn.Read(make([]byte, 8))
	return err == nil && n > 0, time.Since(started)
}

func TestFaults(t *testing.T) {
	r, end, err := relay.New("127.0.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer end()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", r.Address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	want := func(what string, conn net.Conn, want bool) time.Duration {
		t.Helper()
		got, took := heard(conn)
		if got != want {
			t.Errorf("%s: heard %v, want %v", what, got, want)
		}
		return took
	}
	first := dial()
	want("at first", first, true)
	r.Delay(40 * time.Millisecond)
	if took := want("with a delay", first, true); took < 80*time.Millisecond {
		t.Errorf("with a delay of 40 ms each way it took %s", took)
	}
	r.Delay(0)
	if n := r.Freeze(); n != 1 {
		t.Errorf("%d connections froze, want 1", n)
	}
	want("frozen", first, false)
	second := dial()
	want("new, behind the frozen one", second, true)
	r.Silence(relay.ToCaller)
	want("one way", second, false)
	third := dial()
	want("new, one way", third, false)
	r.Silence()
	want("one way before", second, false)
	fourth := dial()
	want("new, healed", fourth, true)
	r.Reset()
	want("reset", fourth, false)
	want("new, behind the reset", dial(), true)
}
