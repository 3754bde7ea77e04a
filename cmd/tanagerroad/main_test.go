package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"tanagerroad/io/command"
	"tanagerroad/io/demo"
	"tanagerroad/io/load"
	"tanagerroad/platform"
)

// asProgram makes the test binary behave as the program itself.
const asProgram = "TANAGERROAD_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
	}
	testscript.Main(m, map[string]func(){
		"tanagerroad": func() {
			os.Exit(command.Run(os.Args[1:], command.Config{Stdout: os.Stdout, Stderr: os.Stderr, Dialect: platform.Dialect{}}))
		},
	})
}

// patience is how long a script waits for what must come.
const patience = 20 * time.Second

// TestScripts runs the real program as separate processes; see testdata.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports": ports,
			"fill":  fill,
			"await": await,
			"call":  call,
			"send":  send,
		},
		Condition: func(cond string) (bool, error) {
			if cond == "short" {
				flag.Parse()
				return testing.Short(), nil
			}
			return false, fmt.Errorf("an unknown condition %q", cond)
		},
	})
}

// ports N sets the variables P1 to PN to free loopback addresses.
func ports(ts *testscript.TestScript, _ bool, args []string) {
	var n int
	if _, err := fmt.Sscan(args[0], &n); err != nil {
		ts.Fatalf("ports: %v", err)
	}
	free, err := demo.Free(n)
	ts.Check(err)
	for i, address := range free {
		ts.Setenv(fmt.Sprintf("P%d", i+1), address)
	}
}

// fill FILE... replaces variables such as $P1 in files.
func fill(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		text := os.Expand(ts.ReadFile(name), func(v string) string { return ts.Getenv(v) })
		ts.Check(os.WriteFile(path, []byte(text), 0o600))
	}
}

// await URL [TEXT] waits until the URL answers 200, and with the text in it.
func await(ts *testscript.TestScript, _ bool, args []string) {
	end := time.Now().Add(patience)
	var last string
	for time.Now().Before(end) {
		ok, got := fetch(args[0])
		if last = got; ok && (len(args) < 2 || strings.Contains(got, args[1])) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s never answered as awaited; last: %s", args[0], last)
}

func fetch(url string) (bool, string) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return false, err.Error()
	}
	defer response.Body.Close()
	var b bytes.Buffer
	_, err = b.ReadFrom(response.Body)
	return err == nil && response.StatusCode == http.StatusOK, b.String()
}

var signals = map[string]os.Signal{
	"TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// send SIGNAL SETTINGS... signals the background processes with these settings.
func send(ts *testscript.TestScript, _ bool, args []string) {
	sig, ok := signals[args[0]]
	if !ok {
		ts.Fatalf("send: an unknown signal %s", args[0])
	}
	for _, settings := range args[1:] {
		sent := false
		for _, cmd := range ts.BackgroundCmds() {
			if slices.Contains(cmd.Args, settings) && cmd.Process.Signal(sig) == nil {
				sent = true
			}
		}
		if !sent {
			ts.Fatalf("send: no process with %s", settings)
		}
	}
}

// call ENTRY ROUTE ID BODY sends a request and prints the answer's kind, reason
// and body. An id of - leaves it to the entry.
func call(ts *testscript.TestScript, _ bool, args []string) {
	id := args[2]
	if id == "-" {
		id = ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	reply, err := load.Call(ctx, http.DefaultClient, "http://"+args[0], load.Request{
		Route: args[1], Workspace: "test", ID: id, Body: []byte(args[3]), Repeatable: true,
	})
	if err != nil {
		ts.Fatalf("call: %v", err)
	}
	fmt.Fprintf(ts.Stdout(), "%s whole=%v %s %s\n", reply.Kind, reply.Verified, reply.Reason, reply.Body)
}
