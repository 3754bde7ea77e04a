package demo

import (
	"bytes"
	"context"
	"embed"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/settings"
	"tanagerroad/core/table"
	"tanagerroad/io/load"
	"tanagerroad/io/standin"
)

//go:embed routes.json pools.json
var tables embed.FS

// Options configures Run.
type Options struct {
	Duration time.Duration // how long requests are sent
	Logger   *zap.Logger
	// OnResult, if set, is called with the result before the cluster is closed.
	OnResult func(*Cluster, Result)
}

// Result reports on the requests that Run sent.
type Result struct {
	load.Report
	Correct bool `json:"right"` // every request was answered completely and with the expected bytes
}

// callerCount is the number of concurrent callers.
const callerCount = 12

const startTimeout = 20 * time.Second

// regions lists the regions of the demo, each with one availability zone.
var regions = []string{"west", "north", "east"}

// DefaultConfig returns the configuration of the demo's cluster: three entries, three
// control instances and a dozen backend servers in three regions. Control instances
// store their data under rootDir.
func DefaultConfig(rootDir string, logger *zap.Logger) (Config, error) {
	routes, err := tables.ReadFile("routes.json")
	if err != nil {
		return Config{}, fmt.Errorf("demo: %w", err)
	}
	pools, err := tables.ReadFile("pools.json")
	if err != nil {
		return Config{}, fmt.Errorf("demo: %w", err)
	}
	c := Config{DataDir: rootDir, Routes: routes, Pools: pools, Logger: logger}
	for _, region := range regions {
		c.Places = append(c.Places, tanagerroad.Place{Zone: region + "-a", Region: region})
	}
	for i, server := range poolServers {
		for n := range 2 {
			place := c.Places[(i+n)%len(c.Places)]
			c.Backends = append(c.Backends, Backend{Place: place, StandInServer: server})
		}
	}
	return c, nil
}

// stageTime is the run time of a call to a stand-in of kind service.
const stageTime = 4 * time.Millisecond

// service returns the configuration of a server of kind service in this pool.
func service(pool string) settings.StandInServer {
	return settings.StandInServer{Pool: pool, Kind: table.Service, Capacity: 8, Time: tanagerroad.Duration(stageTime)}
}

// poolServers holds the configuration of the backend servers of each pool. Every pool has
// two servers, which share it.
var poolServers = []settings.StandInServer{
	service("encoders"), service("retrievers"), service("rerankers"), service("histories"), service("bookings"),
	{
		Pool: "models", Kind: table.ModelEngine, Models: []string{"guide"}, Capacity: 16,
		Time: tanagerroad.Duration(60 * time.Millisecond), Tokens: 40,
	},
}

// ExpectedAnswer returns the answer that a route must give to body: the answer of each
// stage is the input of the next one.
func ExpectedAnswer(route table.Route, servers []settings.StandInServer, body []byte) []byte {
	for _, stage := range route.Stages {
		for _, s := range servers {
			if s.Pool == stage.Pool {
				body = standin.Answer(s, body)
				break
			}
		}
	}
	return body
}

// Run starts the demo's cluster, sends a mix of requests for the time in the options
// and checks that every answer is the expected one.
func Run(ctx context.Context, o Options) (Result, error) {
	dir, err := os.MkdirTemp("", "tanagerroad-demo-")
	if err != nil {
		return Result{}, fmt.Errorf("demo: %w", err)
	}
	defer os.RemoveAll(dir)
	config, err := DefaultConfig(dir, o.Logger)
	if err != nil {
		return Result{}, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	cluster, closeCluster, err := Start(startCtx, config)
	if err != nil {
		return Result{}, err
	}
	defer closeCluster()
	parsed, findings := table.Parse("routes.json", config.Routes, "pools.json", config.Pools)
	if len(findings) > 0 {
		return Result{}, findings
	}
	result, err := sendRequests(ctx, cluster, parsed, o.Duration)
	if err == nil && o.OnResult != nil {
		o.OnResult(cluster, result)
	}
	return result, err
}

// ExampleCommands returns example commands for the running cluster.
func (c *Cluster) ExampleCommands() string {
	return fmt.Sprintf(`
The cluster runs until interrupted. Commands to try:
  curl -N -H 'Workspace: demo' -d 'a day out' %[1]s/v1/routes/assist
  curl -i -H 'Workspace: demo' -d 'crusher 7' %[1]s/v1/routes/history
  curl -i -H 'Workspace: demo' -H 'Request-Id: my-booking' -d 'two seats' %[1]s/v1/routes/book
  curl http://%[2]s/tables
  curl http://%[2]s/tables/status
  curl http://%[3]s/metrics
`, c.EntryURLs[0], c.ControlOperatorAddrs[0], c.EntryOperatorAddrs[0])
}

// sendRequests sends requests for d from a number of concurrent callers. Each caller sends
// its next request when the last one is answered.
func sendRequests(ctx context.Context, c *Cluster, tables *table.Tables, d time.Duration) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}
	defer client.CloseIdleConnections()
	recorder := load.NewRecorder()
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 1))
			for n := 0; ctx.Err() == nil; n++ {
				sendRequest(ctx, client, c, tables, random, recorder, fmt.Sprintf("demo-%d-%d", i, n))
			}
		})
	}
	group.Wait()
	result := Result{Report: recorder.Report()}
	result.Correct = result.Sent > 0 && result.Attained == result.Sent
	cost, err := load.ReadUsage(context.Background(), client, c.EntryOperatorAddrs, "")
	result.CostByStage, result.BytesByZonePair, result.CrossRegionBytes = cost.CostByStage, cost.BytesByZonePair, cost.CrossRegionBytes
	return result, err
}

// routeMix lists the routes that requests are drawn from.
var routeMix = []string{"assist", "history", "book"}

// sendRequest sends a request on a random route to a random entry and records whether the
// answer is the expected one.
func sendRequest(ctx context.Context, client *http.Client, c *Cluster, tables *table.Tables, random *rand.Rand, recorder *load.Recorder, id string) {
	route := tables.Routes[routeMix[random.IntN(len(routeMix))]]
	base := c.EntryURLs[random.IntN(len(c.EntryURLs))]
	body := load.RandomBody(random, 40+random.IntN(400))
	start := time.Now()
	// The end of the demo does not cancel a request in flight.
	reply, err := load.Call(context.WithoutCancel(ctx), client, base, load.Request{
		Route: route.Name, Workspace: "demo", ID: id, Body: body, Repeatable: route.IsRepeatable(),
	})
	correct := reply.Verified && bytes.Equal(reply.Body, ExpectedAnswer(route, poolServers, body))
	recorder.Record(reply, err, correct, time.Since(start))
}
