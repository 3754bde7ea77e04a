package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/replay"
	"tanagerroad/core/settings"
	"tanagerroad/core/table"
	"tanagerroad/io/demo"
	"tanagerroad/io/load"
	"tanagerroad/io/logline"
	"tanagerroad/io/operator"
	"tanagerroad/io/process"
)

type action = func(context.Context, streams, []string) error

func versionCommand(*flaggy.Subcommand) func(context.Context, streams, []string) error {
	return func(_ context.Context, s streams, _ []string) error {
		fmt.Fprintln(s.out, "tanagerroad", Version)
		return nil
	}
}

// roleCommand runs one process until a signal, then stops it as planned.
func roleCommand(role string) func(*flaggy.Subcommand) action {
	return func(sub *flaggy.Subcommand) action {
		var file string
		sub.AddPositionalValue(&file, "settings", 1, true, "settings file")
		return func(_ context.Context, s streams, _ []string) error {
			data, err := readFile(file)
			if err != nil {
				return err
			}
			if found := settings.RoleOf(data); found != role && found != "" {
				return &usage{fmt.Sprintf("%s holds settings of the role %s, not %s", file, found, role)}
			}
			if findings := settings.Check(file, data); len(findings) > 0 {
				return findings
			}
			return serve(s.dialect, file, data)
		}
	}
}

func serve(dialect tanagerroad.Dialect, file string, data []byte) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	p, err := process.Start(process.Environment{Dialect: dialect}, file, data)
	if err != nil {
		return err
	}
	awaitStop(p, file, data, signals)
	go func() {
		for range signals {
			p.SignalAgain()
		}
	}()
	if left := p.Stop(); left > 0 {
		return fmt.Errorf("%d in flight were left at the stop's bound", left)
	}
	return nil
}

// lookEvery is how often the settings file is looked at: it may change without
// a signal.
const lookEvery = time.Second

// awaitStop returns at a signal to stop. Until then it hands settings that have
// changed to the process; SIGHUP has them read at once.
func awaitStop(p *process.Process, file string, data []byte, signals <-chan os.Signal) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-signals:
			return
		case <-hangups:
		case <-ticker.C:
		}
		next, err := os.ReadFile(file)
		if err != nil || bytes.Equal(next, data) {
			continue // a file that cannot be read now may be in the midst of a change
		}
		data = next
		p.Reload(next)
	}
}

func demoCommand(sub *flaggy.Subcommand) action {
	d := 5 * time.Second
	var asJSON, keep, verbose bool
	sub.Duration(&d, "", "for", "how long requests are sent")
	sub.Bool(&asJSON, "", "json", "print the summary as JSON")
	sub.Bool(&keep, "", "keep", "go on after the summary, for trying by hand")
	sub.Bool(&verbose, "", "verbose", "log decisions too, not warnings alone")
	return func(ctx context.Context, s streams, _ []string) error {
		level := "error"
		if verbose {
			level = "info"
		}
		logger, closeLog, err := logline.New(logline.Config{Level: level, Out: s.err})
		if err != nil {
			return err
		}
		defer closeLog()
		return runDemo(ctx, s, d, asJSON, keep, logger)
	}
}

func runDemo(ctx context.Context, s streams, d time.Duration, asJSON, keep bool, logger *zap.Logger) error {
	options := demo.Options{For: d, Logger: logger}
	options.Ended = func(c *demo.Cluster, r demo.Result) {
		if asJSON {
			_ = json.NewEncoder(s.out).Encode(r) // standard output may be closed
		} else {
			fmt.Fprint(s.out, r.Table())
		}
		if keep {
			fmt.Fprint(s.err, c.Lines())
			<-ctx.Done()
		}
	}
	result, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	if !result.Right {
		return fmt.Errorf("of %d answers only %d were right", result.Sent, result.Attained)
	}
	return nil
}

func checkCommand(*flaggy.Subcommand) action {
	return func(_ context.Context, s streams, files []string) error {
		if len(files) == 0 {
			return &usage{"files to check are needed: tanagerroad check FILE..."}
		}
		findings, err := checkFiles(files)
		if err != nil {
			return err
		}
		if len(findings) > 0 {
			return findings
		}
		fmt.Fprintln(s.out, "no findings in", len(files), "files")
		return nil
	}
}

// checkFiles checks settings one by one, and the two tables against each other
// when both are there.
func checkFiles(files []string) (tanagerroad.Findings, error) {
	var findings tanagerroad.Findings
	var routes, pools string
	contents := map[string][]byte{}
	for _, file := range files {
		data, err := readFile(file)
		if err != nil {
			return nil, err
		}
		contents[file] = data
		switch kindOf(file, data) {
		case "routes":
			routes = file
		case "pools":
			pools = file
		default:
			findings = append(findings, settings.Check(file, data)...)
		}
	}
	if routes+pools != "" {
		findings = append(findings, checkTables(routes, contents[routes], pools, contents[pools])...)
	}
	return findings, nil
}

// kindOf tells the tables from settings, by name or by content.
func kindOf(file string, data []byte) string {
	switch filepath.Base(file) {
	case "routes.json":
		return "routes"
	case "pools.json":
		return "pools"
	}
	var keys map[string]json.RawMessage
	if json.Unmarshal(data, &keys) == nil {
		for _, kind := range []string{"routes", "pools"} {
			if _, ok := keys[kind]; ok {
				return kind
			}
		}
	}
	return "settings"
}

// checkTables checks both tables. One that was not given counts as empty, and
// only the other's own findings are reported.
func checkTables(routesFile string, routes []byte, poolsFile string, pools []byte) tanagerroad.Findings {
	if routesFile != "" && poolsFile != "" {
		_, findings := table.Parse(routesFile, routes, poolsFile, pools)
		return findings
	}
	file := routesFile + poolsFile
	if poolsFile != "" {
		routes = []byte(`{"routes": []}`)
	} else {
		pools = []byte(`{"pools": []}`)
	}
	_, all := table.Parse(file, routes, file, pools)
	var own tanagerroad.Findings
	for _, f := range all {
		if poolsFile != "" || !strings.HasSuffix(f.Path, ".pool") {
			own = append(own, f)
		}
	}
	return own
}

func replayCommand(sub *flaggy.Subcommand) action {
	var file string
	sub.AddPositionalValue(&file, "trace", 1, true, "recorded trace")
	return func(_ context.Context, s streams, _ []string) error {
		f, err := os.Open(file)
		if err != nil {
			return &usage{err.Error()}
		}
		defer f.Close()
		sum, err := replay.Run(f)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		fmt.Fprintf(s.out, "%d lines, %d decisions of %d units: all the same\n", sum.Lines, sum.Steps, sum.Units)
		return nil
	}
}

func loadCommand(sub *flaggy.Subcommand) action {
	var file, plot string
	var asJSON bool
	sub.AddPositionalValue(&file, "plan", 1, true, "load plan")
	sub.String(&plot, "", "plot", "write the latency distribution as an SVG or PNG file")
	sub.Bool(&asJSON, "", "json", "print the report as JSON")
	return func(ctx context.Context, s streams, _ []string) error {
		data, err := readFile(file)
		if err != nil {
			return err
		}
		plan, findings := load.ParsePlan(file, data)
		if len(findings) > 0 {
			return findings
		}
		report, err := load.Run(ctx, plan)
		if err != nil {
			return err
		}
		if asJSON {
			err = json.NewEncoder(s.out).Encode(report)
		} else {
			_, err = fmt.Fprint(s.out, report.Table())
		}
		if err != nil || plot == "" {
			return err
		}
		return load.Plot(report, plot)
	}
}

func statusCommand(sub *flaggy.Subcommand) action {
	var address, token string
	sub.String(&address, "", "operator", "operator's address of a process")
	sub.String(&token, "", "token-file", "file that holds the operator's token")
	return func(ctx context.Context, s streams, _ []string) error {
		return show(ctx, s, address, token, "/status")
	}
}

// show prints what an operator's door answers.
func show(ctx context.Context, s streams, address, tokenFile, path string) error {
	client, token, err := operatorClient(address, tokenFile)
	if err != nil {
		return err
	}
	var reply json.RawMessage
	code, err := operator.Ask(ctx, client, http.MethodGet, address, path, token, nil, &reply)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", path, code, reply)
	}
	return indent(s, reply)
}

func indent(s streams, v any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

const operatorTimeout = 10 * time.Second

// operatorClient reads the token from its file, so that it stands in no
// command line.
func operatorClient(address, tokenFile string) (*http.Client, string, error) {
	if address == "" {
		return nil, "", &usage{"--operator HOST:PORT is needed"}
	}
	client := &http.Client{Timeout: operatorTimeout}
	if tokenFile == "" {
		return client, "", nil
	}
	token, err := readFile(tokenFile)
	return client, strings.TrimSpace(string(token)), err
}

// tableFlags are the flags of all table subcommands.
type tableFlags struct {
	address, token, routes, pools, from, name, changeID, revision string
}

var tableVerbs = []string{"get", "check", "put", "log", "status"}

func tableCommand(sub *flaggy.Subcommand) action {
	var verb string
	var f tableFlags
	sub.AddPositionalValue(&verb, "verb", 1, true, strings.Join(tableVerbs, ", "))
	sub.String(&f.address, "", "operator", "operator's address of a control instance")
	sub.String(&f.token, "", "token-file", "file that holds the operator's token")
	sub.String(&f.routes, "", "routes", "routes table")
	sub.String(&f.pools, "", "pools", "pools table")
	sub.String(&f.from, "", "from-revision", "revision that the change was made from")
	sub.String(&f.name, "", "name", "operator's name, for the log")
	sub.String(&f.changeID, "", "change-id", "id of the change, to resend one whose answer was lost")
	sub.String(&f.revision, "", "revision", "revision to get; the one in force if absent")
	return func(ctx context.Context, s streams, _ []string) error {
		switch verb {
		case "get":
			path := "/tables"
			if f.revision != "" {
				path += "?revision=" + f.revision
			}
			return show(ctx, s, f.address, f.token, path)
		case "log":
			return show(ctx, s, f.address, f.token, "/tables/log")
		case "status":
			return show(ctx, s, f.address, f.token, "/tables/status")
		case "check":
			return tableCheck(s, f)
		case "put":
			return tablePut(ctx, s, f)
		}
		return &usage{unknown("table subcommand", verb, tableVerbs)}
	}
}

func tableCheck(s streams, f tableFlags) error {
	var files []string
	for _, file := range []string{f.routes, f.pools} {
		if file != "" {
			files = append(files, file)
		}
	}
	if len(files) == 0 {
		return &usage{"--routes FILE or --pools FILE is needed"}
	}
	findings, err := checkFiles(files)
	if err != nil {
		return err
	}
	if len(findings) > 0 {
		return findings
	}
	fmt.Fprintln(s.out, "no findings")
	return nil
}

// putPatience is how long a change is sent again and again under its id.
const putPatience = 30 * time.Second

func tablePut(ctx context.Context, s streams, f tableFlags) error {
	put, err := changeOf(f)
	if err != nil {
		return err
	}
	client, token, err := operatorClient(f.address, f.token)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, putPatience)
	defer cancel()
	fmt.Fprintln(s.err, "change-id", put.ChangeID)
	for {
		reply, err := operator.SendPut(ctx, client, f.address, token, put)
		again := err != nil || reply.Outcome == "unknown" || reply.Outcome == "no-quorum"
		if !again || ctx.Err() != nil {
			return putOutcome(s, put, reply, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func changeOf(f tableFlags) (operator.Put, error) {
	put := operator.Put{ChangeID: f.changeID, Operator: f.name}
	if put.ChangeID == "" {
		put.ChangeID = ulid.Make().String()
	}
	if put.Operator == "" {
		put.Operator = os.Getenv("USER")
	}
	if put.Operator == "" {
		put.Operator = "operator"
	}
	if _, err := fmt.Sscan(f.from, &put.FromRevision); err != nil {
		return put, &usage{"--from-revision NUMBER is needed: the revision that the change was made from"}
	}
	if f.routes+f.pools == "" {
		return put, &usage{"--routes FILE or --pools FILE is needed"}
	}
	for file, into := range map[string]*json.RawMessage{f.routes: &put.Routes, f.pools: &put.Pools} {
		if file == "" {
			continue
		}
		data, err := readFile(file)
		if err != nil {
			return put, err
		}
		if !json.Valid(data) {
			return put, settings.Check(file, data)
		}
		*into = data
	}
	return put, nil
}

func putOutcome(s streams, put operator.Put, reply operator.PutReply, err error) error {
	if err != nil {
		return fmt.Errorf("%w; it may have been accepted: send it again with --change-id %s", err, put.ChangeID)
	}
	switch reply.Outcome {
	case "accepted":
		fmt.Fprintf(s.out, "accepted as revision %d\n", reply.Revision)
		return nil
	case "invalid":
		if len(reply.Findings) > 0 {
			return reply.Findings
		}
		return &usage{reply.Reason}
	case "conflict":
		return fmt.Errorf("conflict: %s, by %s\n  %s", reply.Reason, reply.Operator, strings.Join(reply.Difference, "\n  "))
	}
	return fmt.Errorf("%s: %s; send it again with --change-id %s", reply.Outcome, reply.Reason, put.ChangeID)
}
