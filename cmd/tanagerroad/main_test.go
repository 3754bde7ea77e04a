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

// asProgram is the environment variable that, if set, makes the test binary run as the
// program itself.
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

// awaitTimeout is how long tests wait for an expected condition, or for the answer to a
// call, before they fail.
const awaitTimeout = 20 * time.Second

// TestScripts runs the scripts in testdata/script, which start the program as separate
// processes.
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
			return false, fmt.Errorf("unknown condition %q", cond)
		},
	})
}

// ports implements the script command "ports N", which sets the variables P1 to PN to
// free loopback addresses.
func ports(ts *testscript.TestScript, _ bool, args []string) {
	var n int
	if _, err := fmt.Sscan(args[0], &n); err != nil {
		ts.Fatalf("ports: %v", err)
	}
	free, err := demo.FreeAddresses(n)
	ts.Check(err)
	for i, address := range free {
		ts.Setenv(fmt.Sprintf("P%d", i+1), address)
	}
}

// fill implements the script command "fill FILE...", which replaces variables such as $P1
// in the files by their values.
func fill(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		text := os.Expand(ts.ReadFile(name), func(v string) string { return ts.Getenv(v) })
		ts.Check(os.WriteFile(path, []byte(text), 0o600))
	}
}

// await implements the script command "await URL [TEXT]", which waits until the URL
// answers with status 200 and a body that contains the text.
func await(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(awaitTimeout)
	var last string
	for time.Now().Before(deadline) {
		ok, got := fetch(args[0])
		if last = got; ok && (len(args) < 2 || strings.Contains(got, args[1])) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s did not answer as expected in time; last answer: %s", args[0], last)
}

// fetch gets a URL. It returns whether the status is 200, and the body or the error.
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

// signals maps the names that send accepts to signals.
var signals = map[string]os.Signal{
	"TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// send implements the script command "send SIGNAL SETTINGS...", which signals the
// background processes that were started with these settings files.
func send(ts *testscript.TestScript, _ bool, args []string) {
	sig, ok := signals[args[0]]
	if !ok {
		ts.Fatalf("send: unknown signal %s", args[0])
	}
	for _, file := range args[1:] {
		sent := false
		for _, cmd := range ts.BackgroundCmds() {
			if slices.Contains(cmd.Args, file) && cmd.Process.Signal(sig) == nil {
				sent = true
			}
		}
		if !sent {
			ts.Fatalf("send: no running process has the settings file %s", file)
		}
	}
}

// call implements the script command "call ENTRY ROUTE ID BODY", which sends a request and
// prints the answer's kind, completeness, reason and body. If the ID is "-", the request
// has none and the entry assigns one.
func call(ts *testscript.TestScript, _ bool, args []string) {
	id := args[2]
	if id == "-" {
		id = ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	reply, err := load.Call(ctx, http.DefaultClient, "http://"+args[0], load.Request{
		Route: args[1], Workspace: "test", ID: id, Body: []byte(args[3]), Repeatable: true,
	})
	if err != nil {
		ts.Fatalf("call: %v", err)
	}
	fmt.Fprintf(ts.Stdout(), "%s whole=%v %s %s\n", reply.Kind, reply.Verified, reply.Reason, reply.Body)
}
