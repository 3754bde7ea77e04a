// Package command is the command line: its subcommands, their flags and help,
// and the exit codes. What a subcommand does lives in the packages that it
// calls.
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

// Exit codes.
const (
	Done     = 0
	Failed   = 1
	Findings = 2 // wrong usage, or findings in a file
)

// Version of the program.
const Version = "0.1.0"

// Config is what a run of the program is given.
type Config struct {
	Out, Err io.Writer
	Dialect  tanagerroad.Dialect // of gateways and registrars
}

// streams are the standard streams of a run, and the dialect that its roles
// speak.
type streams struct {
	out, err io.Writer
	dialect  tanagerroad.Dialect
}

// spec is one subcommand.
type spec struct {
	name    string
	summary string
	example string
	// setup declares flags and returns what runs once they are parsed.
	setup func(*flaggy.Subcommand) func(context.Context, streams, []string) error
	files bool // takes any number of files
}

func specs() []spec {
	return []spec{
		{"demo", "run every role in one process, with stand-ins, and check every answer", "tanagerroad demo --for 10s", demoCommand, false},
		{"entry", "run an entry", "tanagerroad entry examples/fjellknus/entry-bergen-1.json", roleCommand("entry"), false},
		{"sidecar", "run the sidecar of one backend server", "tanagerroad sidecar examples/fjellknus/sidecar-booking-1.json", roleCommand("sidecar"), false},
		{"control", "run a control instance", "tanagerroad control examples/fjellknus/control-1.json", roleCommand("control"), false},
		{"gateway", "run a gateway", "tanagerroad gateway gateway.json", roleCommand("gateway"), false},
		{"stand-in", "run fake backend servers", "tanagerroad stand-in examples/fjellknus/stand-in.json", roleCommand("stand-in"), false},
		{"table", "get, check, put, log or status of the two tables", "tanagerroad table put --routes routes.json --pools pools.json --from-revision 0", tableCommand, false},
		{"check", "report all findings in settings files and tables", "tanagerroad check entry.json routes.json pools.json", checkCommand, true},
		{"status", "what one process or the control instances see", "tanagerroad status --operator 127.0.0.1:7201", statusCommand, false},
		{"replay", "run a recorded trace through the decision code", "tanagerroad replay trace.jsonl", replayCommand, false},
		{"load", "send open-loop load to running entries", "tanagerroad load plan.json --plot latency.svg", loadCommand, false},
		{"version", "print the version", "tanagerroad version", versionCommand, false},
	}
}

// usage is an error of the command line itself.
type usage struct{ text string }

func (u *usage) Error() string { return u.text }

// Run runs the command line and returns the exit code.
func Run(args []string, config Config) int {
	s := streams{config.Out, config.Err, config.Dialect}
	stderr := config.Err
	err := run(args, s)
	var findings tanagerroad.Findings
	var wrong *usage
	switch {
	case err == nil:
		return Done
	case errors.As(err, &findings):
		fmt.Fprintln(stderr, findings.Error())
		return Findings
	case errors.As(err, &wrong):
		fmt.Fprintln(stderr, "tanagerroad:", wrong.text)
		return Findings
	}
	fmt.Fprintln(stderr, "tanagerroad:", err)
	return Failed
}

func run(args []string, s streams) error {
	all := specs()
	if len(args) == 0 {
		printOverview(s.out, all)
		return &usage{"a subcommand is needed"}
	}
	if args[0] == "--help" || args[0] == "-h" || args[0] == "help" {
		printOverview(s.out, all)
		return nil
	}
	if args[0] == "--version" {
		args = []string{"version"}
	}
	for _, sp := range all {
		if sp.name == args[0] {
			return runSpec(sp, args, s)
		}
	}
	return &usage{unknown("subcommand", args[0], names(all))}
}

func names(all []spec) []string {
	out := make([]string, len(all))
	for i, sp := range all {
		out[i] = sp.name
	}
	return out
}

func printOverview(w io.Writer, all []spec) {
	fmt.Fprintln(w, "tanagerroad serves multi-stage model pipelines.\n\nSubcommands (--help after one tells more):")
	for _, sp := range all {
		fmt.Fprintf(w, "  %-9s %s\n", sp.name, sp.summary)
	}
	fmt.Fprintln(w, "\nExit codes: 0 done, 1 failed, 2 wrong usage or findings.")
}

func runSpec(sp spec, args []string, s streams) error {
	parser := flaggy.NewParser("tanagerroad")
	parser.Version = Version
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	sub := flaggy.NewSubcommand(sp.name)
	sub.Description = sp.summary + "\nExample: " + sp.example
	action := sp.setup(sub)
	parser.AttachSubcommand(sub, 1)
	if sp.files {
		args = separate(args)
	}
	if err := checkFlags(sub, args); err != nil {
		return err
	}
	if err := parser.ParseArgs(args); err != nil {
		return &usage{err.Error()}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return action(ctx, s, parser.TrailingArguments)
}

// separate puts the separator that flaggy wants before a list of files.
func separate(args []string) []string {
	for i, a := range args[1:] {
		if !strings.HasPrefix(a, "-") {
			return append(append(append([]string{}, args[:i+1]...), "--"), args[i+1:]...)
		}
	}
	return args
}

// checkFlags names the nearest flag to one that is not known.
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
			return &usage{unknown("flag", "--"+name, known)}
		}
	}
	return nil
}

// unknown names the nearest of the known words.
func unknown(what, found string, known []string) string {
	bare := strings.TrimLeft(found, "-")
	best, least := "", len(bare)
	for _, k := range known {
		if d := distance(bare, k); d < least && len(k) > 1 {
			best, least = k, d
		}
	}
	if best == "" {
		return fmt.Sprintf("unknown %s %s; tanagerroad --help lists what there is", what, found)
	}
	return fmt.Sprintf("unknown %s %s; did you mean %s?", what, found, best)
}

// distance is the number of letters to add, drop or change from a to b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		before := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			change := before
			if a[i-1] != b[j-1] {
				change++
			}
			before = row[j]
			row[j] = min(row[j]+1, row[j-1]+1, change)
		}
	}
	return row[len(b)]
}

// readFile reads a file that the user named.
func readFile(path string) ([]byte, error) {
	if path == "" {
		return nil, &usage{"a file is needed; --help shows an example"}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &usage{err.Error()}
	}
	return data, nil
}
