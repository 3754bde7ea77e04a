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

// action runs a subcommand after its flags are parsed. The last argument holds the
// trailing arguments.
type action = func(context.Context, environment, []string) error

func versionCommand(*flaggy.Subcommand) func(context.Context, environment, []string) error {
	return func(_ context.Context, env environment, _ []string) error {
		fmt.Fprintln(env.stdout, "tanagerroad", Version)
		return nil
	}
}

// roleCommand returns a subcommand that runs one process of the given role until
// SIGINT or SIGTERM and then shuts it down gracefully.
func roleCommand(role string) func(*flaggy.Subcommand) action {
	return func(sub *flaggy.Subcommand) action {
		var file string
		sub.AddPositionalValue(&file, "settings", 1, true, "settings file")
		return func(_ context.Context, env environment, _ []string) error {
			data, err := readFile(file)
			if err != nil {
				return err
			}
			if found := settings.RoleOf(data); found != role && found != "" {
				return &usageError{fmt.Sprintf("%s holds settings of the role %s, not %s", file, found, role)}
			}
			if findings := settings.Check(file, data); len(findings) > 0 {
				return findings
			}
			return serve(env.dialect, file, data)
		}
	}
}

// serve runs the process that the settings in data describe until a stop signal.
// Further signals during the shutdown do not cut it short.
func serve(dialect tanagerroad.Dialect, file string, data []byte) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	p, err := process.Start(process.Environment{Dialect: dialect}, file, data)
	if err != nil {
		return err
	}
	reloadUntilStop(p, file, data, signals)
	go func() {
		for range signals {
			p.SignalAgain()
		}
	}()
	if inFlight := p.Stop(); inFlight > 0 {
		return fmt.Errorf("%d requests were still in flight when the shutdown timeout expired", inFlight)
	}
	return nil
}

// settingsPollInterval is how often the settings file is read again, since it
// may change without a SIGHUP.
const settingsPollInterval = time.Second

// reloadUntilStop reloads the settings file whenever its content changes, and at
// once on SIGHUP. It returns when a stop signal arrives. data is the content that
// the process was started with.
func reloadUntilStop(p *process.Process, file string, data []byte, signals <-chan os.Signal) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
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
			continue // an unreadable file may be in the middle of being replaced
		}
		data = next
		p.Reload(next)
	}
}

func demoCommand(sub *flaggy.Subcommand) action {
	duration := 5 * time.Second
	var asJSON, keep, verbose bool
	sub.Duration(&duration, "", "for", "how long to send requests")
	sub.Bool(&asJSON, "", "json", "print the summary as JSON")
	sub.Bool(&keep, "", "keep", "keep running after the summary, to try requests by hand")
	sub.Bool(&verbose, "", "verbose", "log at level info instead of error")
	return func(ctx context.Context, env environment, _ []string) error {
		level := "error"
		if verbose {
			level = "info"
		}
		logger, closeLog, err := logline.New(logline.Config{Level: level, Out: env.stderr})
		if err != nil {
			return err
		}
		defer closeLog()
		return runDemo(ctx, env, duration, asJSON, keep, logger)
	}
}

func runDemo(ctx context.Context, env environment, duration time.Duration, asJSON, keep bool, logger *zap.Logger) error {
	options := demo.Options{Duration: duration, Logger: logger}
	options.OnResult = func(c *demo.Cluster, r demo.Result) {
		if asJSON {
			_ = json.NewEncoder(env.stdout).Encode(r) // standard output may be closed
		} else {
			fmt.Fprint(env.stdout, r.Table())
		}
		if keep {
			fmt.Fprint(env.stderr, c.ExampleCommands())
			<-ctx.Done()
		}
	}
	result, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	if !result.Correct {
		return fmt.Errorf("of %d answers, only %d were correct", result.Sent, result.Attained)
	}
	return nil
}

func checkCommand(*flaggy.Subcommand) action {
	return func(_ context.Context, env environment, files []string) error {
		if len(files) == 0 {
			return &usageError{"missing files to check; usage: tanagerroad check FILE..."}
		}
		findings, err := checkFiles(files)
		if err != nil {
			return err
		}
		if len(findings) > 0 {
			return findings
		}
		fmt.Fprintln(env.stdout, "no findings in", len(files), "files")
		return nil
	}
}

// checkFiles checks each settings file on its own and against the others. If both tables
// are among the files, it checks them against each other.
func checkFiles(files []string) (tanagerroad.Findings, error) {
	var findings tanagerroad.Findings
	var routes, pools string
	var settingsFiles []settings.File
	contents := map[string][]byte{}
	for _, file := range files {
		data, err := readFile(file)
		if err != nil {
			return nil, err
		}
		contents[file] = data
		switch fileKind(file, data) {
		case "routes":
			routes = file
		case "pools":
			pools = file
		default:
			findings = append(findings, settings.Check(file, data)...)
			settingsFiles = append(settingsFiles, settings.File{Name: file, Data: data})
		}
	}
	findings = append(findings, settings.CheckTogether(settingsFiles)...)
	if routes+pools != "" {
		findings = append(findings, checkTables(routes, contents[routes], pools, contents[pools])...)
	}
	return findings, nil
}

// fileKind returns "routes", "pools" or "settings". It goes by the name of the
// file, or else by the keys of its JSON object.
func fileKind(file string, data []byte) string {
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

// checkTables checks both tables. A table that was not given counts as empty.
// With routes alone, findings about the pools that they name are dropped.
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
	sub.AddPositionalValue(&file, "trace", 1, true, "trace file")
	return func(_ context.Context, env environment, _ []string) error {
		f, err := os.Open(file)
		if err != nil {
			return &usageError{err.Error()}
		}
		defer f.Close()
		summary, err := replay.Run(f)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		fmt.Fprintf(env.stdout, "%d lines, %d decisions of %d units: all the same as recorded\n", summary.Lines, summary.Steps, summary.Units)
		return nil
	}
}

func loadCommand(sub *flaggy.Subcommand) action {
	var file, plot string
	var asJSON bool
	sub.AddPositionalValue(&file, "plan", 1, true, "load plan")
	sub.String(&plot, "", "plot", "write the latency distribution as an SVG or PNG file")
	sub.Bool(&asJSON, "", "json", "print the report as JSON")
	return func(ctx context.Context, env environment, _ []string) error {
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
			err = json.NewEncoder(env.stdout).Encode(report)
		} else {
			_, err = fmt.Fprint(env.stdout, report.Table())
		}
		if err != nil || plot == "" {
			return err
		}
		return load.Plot(report, plot)
	}
}

func statusCommand(sub *flaggy.Subcommand) action {
	var address, token string
	sub.String(&address, "", "operator", "operator address of the process, HOST:PORT")
	sub.String(&token, "", "token-file", "file that holds the operator's token")
	return func(ctx context.Context, env environment, _ []string) error {
		return printReply(ctx, env, address, token, "/status")
	}
}

// printReply requests path from the operator address of a process and prints
// the JSON reply.
func printReply(ctx context.Context, env environment, address, tokenFile, path string) error {
	client, token, err := operatorClient(address, tokenFile)
	if err != nil {
		return err
	}
	var reply json.RawMessage
	code, err := operator.Call(ctx, client, http.MethodGet, address, path, token, nil, &reply)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", path, code, reply)
	}
	return printIndented(env, reply)
}

// printIndented prints v as indented JSON.
func printIndented(env environment, v any) error {
	e := json.NewEncoder(env.stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// operatorTimeout limits one request to the operator address of a process.
const operatorTimeout = 10 * time.Second

// operatorClient returns an HTTP client and the operator's token. The token is
// read from a file, so that it never appears on a command line.
func operatorClient(address, tokenFile string) (*http.Client, string, error) {
	if address == "" {
		return nil, "", &usageError{"missing flag --operator HOST:PORT"}
	}
	client := &http.Client{Timeout: operatorTimeout}
	if tokenFile == "" {
		return client, "", nil
	}
	token, err := readFile(tokenFile)
	return client, strings.TrimSpace(string(token)), err
}

// tableFlags holds the flags of all table subcommands.
type tableFlags struct {
	address, tokenFile, routesFile, poolsFile, fromRevision, operatorName, changeID, revision string
}

var tableVerbs = []string{"get", "check", "put", "log", "status"}

func tableCommand(sub *flaggy.Subcommand) action {
	var verb string
	var f tableFlags
	sub.AddPositionalValue(&verb, "verb", 1, true, strings.Join(tableVerbs, ", "))
	sub.String(&f.address, "", "operator", "operator address of a control instance, HOST:PORT")
	sub.String(&f.tokenFile, "", "token-file", "file that holds the operator's token")
	sub.String(&f.routesFile, "", "routes", "file that holds the routes table")
	sub.String(&f.poolsFile, "", "pools", "file that holds the pools table")
	sub.String(&f.fromRevision, "", "from-revision", "revision that the change is based on")
	sub.String(&f.operatorName, "", "name", "operator's name, recorded with the change; $USER if absent")
	sub.String(&f.changeID, "", "change-id", "id of the change, to resend one whose reply was lost; a new id if absent")
	sub.String(&f.revision, "", "revision", "number of the revision to get; the one in force if absent")
	return func(ctx context.Context, env environment, _ []string) error {
		switch verb {
		case "get":
			path := "/tables"
			if f.revision != "" {
				path += "?revision=" + f.revision
			}
			return printReply(ctx, env, f.address, f.tokenFile, path)
		case "log":
			return printReply(ctx, env, f.address, f.tokenFile, "/tables/log")
		case "status":
			return printReply(ctx, env, f.address, f.tokenFile, "/tables/status")
		case "check":
			return tableCheck(env, f)
		case "put":
			return tablePut(ctx, env, f)
		}
		return &usageError{suggestNearest("table subcommand", verb, tableVerbs)}
	}
}

func tableCheck(env environment, f tableFlags) error {
	var files []string
	for _, file := range []string{f.routesFile, f.poolsFile} {
		if file != "" {
			files = append(files, file)
		}
	}
	if len(files) == 0 {
		return &usageError{"missing flag: --routes FILE, --pools FILE or both"}
	}
	findings, err := checkFiles(files)
	if err != nil {
		return err
	}
	if len(findings) > 0 {
		return findings
	}
	fmt.Fprintln(env.stdout, "no findings")
	return nil
}

// putRetryTimeout is how long tablePut resends a change under the same id while
// its outcome is unknown or there is no quorum.
const putRetryTimeout = 30 * time.Second

// tablePut sends a change of the tables and retries it, under the same id, while
// its outcome is unknown or there is no quorum. The id makes resending
// idempotent.
func tablePut(ctx context.Context, env environment, f tableFlags) error {
	change, err := newTableChange(f)
	if err != nil {
		return err
	}
	client, token, err := operatorClient(f.address, f.tokenFile)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, putRetryTimeout)
	defer cancel()
	fmt.Fprintln(env.stderr, "change-id", change.ChangeID)
	for {
		reply, err := operator.PutTables(ctx, client, f.address, token, change)
		retry := err != nil || reply.Outcome == "unknown" || reply.Outcome == "no-quorum"
		if !retry || ctx.Err() != nil {
			return reportOutcome(env, change, reply, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// newTableChange builds the change of the tables that the flags describe.
func newTableChange(f tableFlags) (operator.TableChange, error) {
	change := operator.TableChange{ChangeID: f.changeID, Operator: f.operatorName}
	if change.ChangeID == "" {
		change.ChangeID = ulid.Make().String()
	}
	if change.Operator == "" {
		change.Operator = os.Getenv("USER")
	}
	if change.Operator == "" {
		change.Operator = "operator"
	}
	if _, err := fmt.Sscan(f.fromRevision, &change.FromRevision); err != nil {
		return change, &usageError{"--from-revision must be the number of the revision that the change is based on"}
	}
	if f.routesFile+f.poolsFile == "" {
		return change, &usageError{"missing flag: --routes FILE, --pools FILE or both"}
	}
	if f.routesFile == f.poolsFile {
		return change, &usageError{"--routes and --pools name the same file; each table has its own"}
	}
	for _, t := range []struct {
		file   string
		target *json.RawMessage
	}{{f.routesFile, &change.Routes}, {f.poolsFile, &change.Pools}} {
		if t.file == "" {
			continue
		}
		data, err := readFile(t.file)
		if err != nil {
			return change, err
		}
		if !json.Valid(data) {
			return change, settings.Check(t.file, data)
		}
		*t.target = data
	}
	return change, nil
}

// reportOutcome prints the revision of an accepted change, or returns an error
// that says why the change was not accepted and whether to resend it.
func reportOutcome(env environment, change operator.TableChange, reply operator.TableChangeReply, err error) error {
	if err != nil {
		return fmt.Errorf("%w; the change may have been accepted: send it again with --change-id %s", err, change.ChangeID)
	}
	switch reply.Outcome {
	case "accepted":
		fmt.Fprintf(env.stdout, "accepted as revision %d\n", reply.Revision)
		return nil
	case "invalid":
		if len(reply.Findings) > 0 {
			return reply.Findings
		}
		return &usageError{reply.Reason}
	case operator.Denied:
		return &usageError{"denied: " + reply.Reason + "; name a file that holds it with --token-file"}
	case "conflict":
		return fmt.Errorf("conflict: %s, by %s\n  %s", reply.Reason, reply.CurrentOperator, strings.Join(reply.Difference, "\n  "))
	}
	return fmt.Errorf("%s: %s; send the change again with --change-id %s", reply.Outcome, reply.Reason, change.ChangeID)
}
