// Package command implements the command line: subcommands, their flags and
// help texts, and exit codes. The work of each subcommand is done by the
// packages that it calls.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"tanagerroad"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitInvalid = 2 // wrong usage, or findings in a checked file
)

// Version is the version of the program.
const Version = "0.1.0"

// Config holds the output streams and the platform dialect of one run of the
// program.
type Config struct {
	Stdout, Stderr io.Writer
	Dialect        tanagerroad.Dialect // used by gateways and registrars
}

// environment holds the output streams of a run and the platform dialect of its
// gateways and registrars.
type environment struct {
	stdout, stderr io.Writer
	dialect        tanagerroad.Dialect
}

// subcommand describes one subcommand of the program.
type subcommand struct {
	name    string
	summary string
	example string
	// setup declares the flags and returns the function that runs after they are
	// parsed. Its last argument holds the trailing arguments.
	setup      func(*flaggy.Subcommand) func(context.Context, environment, []string) error
	takesFiles bool // whether it accepts any number of files as trailing arguments
}

func subcommands() []subcommand {
	return []subcommand{
		{"demo", "run all roles and fake backend servers in one process and check every answer", "tanagerroad demo --for 10s", demoCommand, false},
		{"entry", "run an entry", "tanagerroad entry examples/fjellknus/entry-bergen-1.json", roleCommand("entry"), false},
		{"sidecar", "run the sidecar of one backend server", "tanagerroad sidecar examples/fjellknus/sidecar-booking-1.json", roleCommand("sidecar"), false},
		{"control", "run a control instance", "tanagerroad control examples/fjellknus/control-1.json", roleCommand("control"), false},
		{"gateway", "run a gateway", "tanagerroad gateway gateway.json", roleCommand("gateway"), false},
		{"stand-in", "run fake backend servers", "tanagerroad stand-in examples/fjellknus/stand-in.json", roleCommand("stand-in"), false},
		{"table", "read, check or change the routes and pools tables: get, check, put, log, status", "tanagerroad table put --routes routes.json --pools pools.json --from-revision 0", tableCommand, false},
		{"evacuate", "keep requests out of an availability zone: begin, finish, list", "tanagerroad evacuate begin zone-a --operator 127.0.0.1:7201", evacuateCommand, false},
		{"check", "check settings files and tables and report every finding", "tanagerroad check entry.json routes.json pools.json", checkCommand, true},
		{"status", "print the status of one process", "tanagerroad status --operator 127.0.0.1:7201", statusCommand, false},
		{"replay", "replay a recorded trace and compare every decision", "tanagerroad replay trace.jsonl", replayCommand, false},
		{"load", "send open-loop load to running entries", "tanagerroad load plan.json --plot latency.svg", loadCommand, false},
		{"version", "print the version", "tanagerroad version", versionCommand, false},
	}
}

// usageError reports wrong usage of the command line. The program exits with
// code 2.
type usageError struct{ message string }

func (u *usageError) Error() string { return u.message }

// Run executes the command line given by args, without the program name, and
// returns the exit code.
func Run(args []string, config Config) int {
	env := environment{config.Stdout, config.Stderr, config.Dialect}
	stderr := config.Stderr
	err := run(args, env)
	var findings tanagerroad.Findings
	var usageErr *usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &findings):
		fmt.Fprintln(stderr, findings.Error())
		return ExitInvalid
	case errors.As(err, &usageErr):
		fmt.Fprintln(stderr, "tanagerroad:", usageErr.message)
		return ExitInvalid
	}
	fmt.Fprintln(stderr, "tanagerroad:", err)
	return ExitFailure
}

func run(args []string, env environment) error {
	all := subcommands()
	if len(args) == 0 {
		printOverview(env.stdout, all)
		return &usageError{"missing subcommand"}
	}
	if args[0] == "--help" || args[0] == "-h" || args[0] == "help" {
		printOverview(env.stdout, all)
		return nil
	}
	if args[0] == "--version" {
		args = []string{"version"}
	}
	for _, sc := range all {
		if sc.name == args[0] {
			return runSubcommand(sc, args, env)
		}
	}
	return &usageError{suggestNearest("subcommand", args[0], subcommandNames(all))}
}

func subcommandNames(all []subcommand) []string {
	out := make([]string, len(all))
	for i, sc := range all {
		out[i] = sc.name
	}
	return out
}

func printOverview(w io.Writer, all []subcommand) {
	fmt.Fprintln(w, "tanagerroad serves multi-stage model pipelines.\n\nSubcommands (add --help to one for its flags and an example):")
	for _, sc := range all {
		fmt.Fprintf(w, "  %-9s %s\n", sc.name, sc.summary)
	}
	fmt.Fprintln(w, "\nExit codes: 0 done, 1 failed, 2 wrong usage or findings.")
}

func runSubcommand(sc subcommand, args []string, env environment) error {
	parser := flaggy.NewParser("tanagerroad")
	parser.Version = Version
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	sub := flaggy.NewSubcommand(sc.name)
	sub.Description = sc.summary + "\nExample: " + sc.example
	action := sc.setup(sub)
	parser.AttachSubcommand(sub, 1)
	if sc.takesFiles {
		args = addFileSeparator(args)
	}
	if err := checkFlags(sub, args); err != nil {
		return err
	}
	if err := parser.ParseArgs(args); err != nil {
		return &usageError{err.Error()}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return action(ctx, env, parser.TrailingArguments)
}

// addFileSeparator inserts "--" before the first file, since flaggy accepts an
// open-ended list of arguments only after that separator.
func addFileSeparator(args []string) []string {
	for i, a := range args[1:] {
		if !strings.HasPrefix(a, "-") {
			return append(append(append([]string{}, args[:i+1]...), "--"), args[i+1:]...)
		}
	}
	return args
}

// checkFlags rejects unknown flags before flaggy parses them, so that the error
// can suggest the most similar flag.
func checkFlags(sub *flaggy.Subcommand, args []string) error {
	known := []string{"help", "h"}
	for _, f := range sub.Flags {
		known = append(known, f.LongName)
		if f.ShortName != "" {
			known = append(known, f.ShortName)
		}
	}
	for _, a := range args {
		if a == "--" {
			return nil
		}
		name, ok := strings.CutPrefix(a, "--")
		if !ok {
			continue
		}
		name, _, _ = strings.Cut(name, "=")
		if !slices.Contains(known, name) {
			return &usageError{suggestNearest("flag", "--"+name, known)}
		}
	}
	return nil
}

// suggestNearest returns an error text for the unknown word found, which
// suggests the most similar of the known words.
func suggestNearest(what, found string, known []string) string {
	bare := strings.TrimLeft(found, "-")
	nearest, minDistance := "", len(bare)
	for _, k := range known {
		if d := editDistance(bare, k); d < minDistance && len(k) > 1 {
			nearest, minDistance = k, d
		}
	}
	if nearest == "" {
		return fmt.Sprintf("unknown %s %s; see tanagerroad --help", what, found)
	}
	return fmt.Sprintf("unknown %s %s; did you mean %s?", what, found, nearest)
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			substitution := diagonal
			if a[i-1] != b[j-1] {
				substitution++
			}
			diagonal = row[j]
			row[j] = min(row[j]+1, row[j-1]+1, substitution)
		}
	}
	return row[len(b)]
}

// readFile reads a file named on the command line. A missing or unreadable file
// is a usage error.
func readFile(path string) ([]byte, error) {
	if path == "" {
		return nil, &usageError{"missing file name; see --help for an example"}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return data, nil
}
