package pipeline_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/pipeline"
	"tanagerroad/core/schedule"
)

func TestMain(m *testing.M) { schedule.Main(m, 2000, 300) }

func traits(string) *tanagerroad.PieceTraits {
	return &tanagerroad.PieceTraits{MaxBatch: 10, CallTime: 240 * time.Millisecond, PieceTime: 10 * time.Millisecond}
}

// TestStagesStartOnceWithAllInputs checks that each stage starts once, after all
// stages it depends on and with exactly their results, and that the request gets
// the results of the final stages. Results arrive in any order, some of them
// twice.
func TestStagesStartOnceWithAllInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "stages")
		config := pipeline.Config{Traits: traits, Due: 2 * time.Second, Deadline: 10 * time.Second}
		for i := range n {
			stage := tanagerroad.CatalogStage{Pool: fmt.Sprintf("p%d", i%3), Bytes: 100}
			for j := range i {
				if rapid.Bool().Draw(t, "after") {
					stage.After = append(stage.After, j)
				}
			}
			config.Stages = append(config.Stages, stage)
			config.Pieces = append(config.Pieces, rapid.IntRange(0, 3).Draw(t, "pieces"))
		}
		p := pipeline.New(config)
		type pieceID struct{ stage, piece int }
		var running []pieceID
		started := map[int]bool{}
		results := map[pieceID]string{}
		handles := func(stage int) (out []string) {
			for k := range config.Pieces[stage] {
				out = append(out, results[pieceID{stage, k}])
			}
			return out
		}
		for !p.Done() {
			for _, job := range p.Ready() {
				if started[job.Stage] {
					t.Fatalf("stage %d starts twice", job.Stage)
				}
				started[job.Stage] = true
				var want []string
				for _, input := range config.Stages[job.Stage].After {
					want = append(want, handles(input)...)
				}
				if !slices.Equal(job.Inputs, want) || slices.Contains(want, "") {
					t.Fatalf("stage %d has inputs %v, want %v", job.Stage, job.Inputs, want)
				}
				for _, piece := range job.Pieces {
					running = append(running, pieceID{job.Stage, piece})
				}
			}
			if len(running) == 0 {
				t.Fatal("no stage can start or is running, but the pipeline is not done")
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
			id := running[i]
			handle := fmt.Sprintf("h%d-%d-%d", id.stage, id.piece, len(results))
			if fresh := p.AddResult(id.stage, id.piece, handle, "z"); fresh != (results[id] == "") {
				t.Fatalf("result reported as new: %v, want the opposite", fresh)
			}
			if results[id] == "" {
				results[id] = handle
			}
			if rapid.Bool().Draw(t, "once") {
				running = slices.Delete(running, i, i+1)
			}
		}
		var want []string
		for i := range n {
			final := !slices.ContainsFunc(config.Stages, func(s tanagerroad.CatalogStage) bool { return slices.Contains(s.After, i) })
			if final {
				want = append(want, handles(i)...)
			}
		}
		if got := p.RequestInputs(); !slices.Equal(got, want) {
			t.Fatalf("inputs %v, want %v", got, want)
		}
	})
}

// TestRestartsAreBounded checks that the stages are run again after lost results,
// but only a limited number of times.
func TestRestartsAreBounded(t *testing.T) {
	p := pipeline.New(pipeline.Config{
		Stages: []tanagerroad.CatalogStage{{Pool: "a"}}, Pieces: []int{1}, Traits: traits, Due: time.Second, Deadline: time.Second,
	})
	for i := range 3 {
		if len(p.Ready()) != 1 {
			t.Fatalf("round %d: the stage does not start", i)
		}
		p.AddResult(0, 0, "h", "z")
		if _, ok := p.Restart(); ok != (i < 2) {
			t.Errorf("round %d: restart allowed: %v, want the opposite", i, ok)
		}
	}
}

// TestStagesInACircleNeverEnd guards against computations on stages that do not end where
// the stages wait for each other.
func TestStagesInACircleNeverEnd(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261204, 21))
	for range 2000 {
		config := pipeline.Config{Traits: func(string) *tanagerroad.PieceTraits { return &tanagerroad.PieceTraits{CallTime: time.Second} }}
		n := 1 + rng.IntN(6)
		for range n {
			stage := tanagerroad.CatalogStage{Pool: "p"}
			for range rng.IntN(3) {
				stage.After = append(stage.After, rng.IntN(n))
			}
			config.Stages, config.Pieces = append(config.Stages, stage), append(config.Pieces, rng.IntN(3))
		}
		ended := make(chan int)
		go func() {
			p := pipeline.New(config)
			p.Ready()
			p.RequestInputs()
			ended <- len(p.CriticalPath())
		}()
		select {
		case length := <-ended:
			if length > n {
				t.Fatalf("a path of %d stages, there are %d: %+v", length, n, config.Stages)
			}
		case <-time.After(2 * time.Second):
			t.Fatalf("the computations have not ended after 2 s: %+v, pieces %v", config.Stages, config.Pieces)
		}
	}
}
