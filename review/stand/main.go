// Command stand plays the cases of the review that are scripts: it writes the settings of
// a small deployment, and stands in for backend servers, callers and the operator, as the
// platform's pages describe them.
package main

import (
	"fmt"
	"os"
	"strconv"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases, by name.
var cases = map[string]func(*stage) int{
	"odd-heartbeat":   playOddHeartbeat,
	"repeated-answer": playRepeatedAnswer,
	"new-version":     playNewVersion,
	"gone-runner":     playGoneRunner,
	"release":         playRelease,
}

func main() {
	if len(os.Args) < 2 {
		usage()
	}
	switch args := os.Args[2:]; {
	case os.Args[1] == "settings" && len(args) == 3:
		controls, controlsErr := strconv.Atoi(args[1])
		gateways, gatewaysErr := strconv.Atoi(args[2])
		if controlsErr != nil || gatewaysErr != nil {
			usage()
		}
		if err := writeSettings(args[0], controls, gateways); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
	case os.Args[1] == "play" && len(args) == 4 && cases[args[0]] != nil:
		s, err := newStage(args[1], args[2], args[3] != "0")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		code := cases[args[0]](s)
		s.close()
		os.Exit(code)
	default:
		usage()
	}
}

func usage() {
	fmt.Fprintln(os.Stderr, "usage: stand settings DIR CONTROLS GATEWAYS | stand play CASE DIR RECORD TROUBLE")
	os.Exit(exitNotRun)
}
