// Command standin-2 plays the platform, the operator, the clients and the runners of the
// cases of the second review. The names that the platform uses stand in names.txt.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// commands are the subcommands. Each gets the arguments after its own name and returns the
// exit code.
var commands = map[string]func(w *world, args []string) (int, error){
	"settings": writeSettings,
	"born":     runBorn,
	"start":    runStart,
	"taken":    runTaken,
	"stray":    runStray,
	"zero":     runZero,
}

func main() {
	if len(os.Args) < 4 || commands[os.Args[3]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 ASSETS DIR COMMAND [ARGUMENT...]")
		os.Exit(exitFailed)
	}
	w, err := newWorld(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	code, err := commands[os.Args[3]](w, os.Args[4:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	os.Exit(code)
}

// newWorld reads the names and, unless it is the first command, the ports.
func newWorld(assets, dir string) (*world, error) {
	w := &world{assets: assets, dir: dir, names: map[string]string{}, trouble: os.Getenv("TROUBLE") != "0", core: []int{1, 2, 3}}
	text, err := os.ReadFile(filepath.Join(assets, "names.txt"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		key, name, ok := strings.Cut(strings.TrimSpace(line), " ")
		if ok && key != "#" {
			w.names[key] = name
		}
	}
	if ports, err := os.ReadFile(filepath.Join(dir, "ports")); err == nil {
		w.ports = strings.Fields(string(ports))
	}
	return w, nil
}
