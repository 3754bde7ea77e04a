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

// Options of the demo.
type Options struct {
	For    time.Duration
	Logger *zap.Logger
	// Ended is told of the result while the cluster still runs; nil: nobody.
	Ended func(*Cluster, Result)
}

// Result is what the demo found.
type Result struct {
	load.Report
	Right bool `json:"right"` // every answer was whole and its own
}

// callers is how many callers send at once.
const callers = 12

const startTimeout = 20 * time.Second

// regions of the demo, with one zone each.
var regions = []string{"west", "north", "east"}

// Layout is the demo's cluster: a dozen backend servers in three regions.
func Layout(folder string, logger *zap.Logger) (Config, error) {
	routes, err := tables.ReadFile("routes.json")
	if err != nil {
		return Config{}, fmt.Errorf("demo: %w", err)
	}
	pools, err := tables.ReadFile("pools.json")
	if err != nil {
		return Config{}, fmt.Errorf("demo: %w", err)
	}
	c := Config{Folder: folder, Routes: routes, Pools: pools, Logger: logger}
	for _, region := range regions {
		c.Places = append(c.Places, tanagerroad.Place{Zone: region + "-a", Region: region})
	}
	for i, kind := range serverKinds {
		for n := range 2 {
			place := c.Places[(i+n)%len(c.Places)]
			c.Backends = append(c.Backends, Backend{Place: place, StandInServer: kind})
		}
	}
	return c, nil
}

const stageTime = 4 * time.Millisecond

func service(pool string) settings.StandInServer {
	return settings.StandInServer{Pool: pool, Kind: table.Service, Capacity: 8, Time: tanagerroad.Duration(stageTime)}
}

// serverKinds are the demo's pools; two servers stand in each.
var serverKinds = []settings.StandInServer{
	service("encoders"), service("retrievers"), service("rerankers"), service("histories"), service("bookings"),
	{
		Pool: "models", Kind: table.ModelEngine, Models: []string{"guide"}, Capacity: 16,
		Time: tanagerroad.Duration(60 * time.Millisecond), Tokens: 40,
	},
}

// Expected is the one right answer to a request of a route.
func Expected(route table.Route, servers []settings.StandInServer, body []byte) []byte {
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

// Run starts the demo's cluster, sends a mix of requests for a while and
// checks every answer.
func Run(ctx context.Context, o Options) (Result, error) {
	folder, err := os.MkdirTemp("", "tanagerroad-demo-")
	if err != nil {
		return Result{}, fmt.Errorf("demo: %w", err)
	}
	defer os.RemoveAll(folder)
	layout, err := Layout(folder, o.Logger)
	if err != nil {
		return Result{}, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	cluster, closeCluster, err := Start(startCtx, layout)
	if err != nil {
		return Result{}, err
	}
	defer closeCluster()
	parsed, findings := table.Parse("routes.json", layout.Routes, "pools.json", layout.Pools)
	if len(findings) > 0 {
		return Result{}, findings
	}
	result, err := drive(ctx, cluster, parsed, o.For)
	if err == nil && o.Ended != nil {
		o.Ended(cluster, result)
	}
	return result, err
}

// Lines are commands to try by hand on a running cluster.
func (c *Cluster) Lines() string {
	return fmt.Sprintf(`
It goes on until interrupted. To try:
  curl -N -H 'Workspace: demo' -d 'a day out' %[1]s/v1/routes/assist
  curl -i -H 'Workspace: demo' -d 'crusher 7' %[1]s/v1/routes/history
  curl -i -H 'Workspace: demo' -H 'Request-Id: my-booking' -d 'two seats' %[1]s/v1/routes/book
  curl http://%[2]s/tables
  curl http://%[2]s/tables/status
  curl http://%[3]s/metrics
`, c.EntryURLs[0], c.ControlOps[0], c.EntryOps[0])
}

// drive sends requests from a few callers, one after the other each.
func drive(ctx context.Context, c *Cluster, tables *table.Tables, d time.Duration) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	recorder := load.NewRecorder()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 1))
			for n := 0; ctx.Err() == nil; n++ {
				one(ctx, client, c, tables, random, recorder, fmt.Sprintf("demo-%d-%d", i, n))
			}
		})
	}
	group.Wait()
	result := Result{Report: recorder.Report()}
	result.Right = result.Sent > 0 && result.Attained == result.Sent
	spent, err := load.ReadUsage(context.Background(), client, c.EntryOps, "")
	result.CostByStage, result.BytesByZonePair, result.CrossRegionBytes = spent.CostByStage, spent.BytesByZonePair, spent.CrossRegionBytes
	return result, err
}

var mix = []string{"assist", "history", "book"}

func one(ctx context.Context, client *http.Client, c *Cluster, tables *table.Tables, random *rand.Rand, recorder *load.Recorder, id string) {
	route := tables.Routes[mix[random.IntN(len(mix))]]
	base := c.EntryURLs[random.IntN(len(c.EntryURLs))]
	body := load.RandomBody(random, 40+random.IntN(400))
	start := time.Now()
	// A request that has begun is finished also when the demo's time is up.
	reply, err := load.Call(context.WithoutCancel(ctx), client, base, load.Request{
		Route: route.Name, Workspace: "demo", ID: id, Body: body, Repeatable: route.IsRepeatable(),
	})
	right := reply.Verified && bytes.Equal(reply.Body, Expected(route, serverKinds, body))
	recorder.Record(reply, err, right, time.Since(start))
}
