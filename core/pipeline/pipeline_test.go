package pipeline_test

import (
	"fmt"
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
	return &tanagerroad.PieceTraits{Batch: 10, Call: 240 * time.Millisecond, Item: 10 * time.Millisecond}
}

// TestEveryPieceOnceWithAllItsInputs: whatever order results come in, doubled
// or not, each stage starts once, after all stages before it, with exactly their
// results; and the request is given those of the last stages.
func TestEveryPieceOnceWithAllItsInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "stages")
		config := pipeline.Config{Traits: traits, Aim: 2 * time.Second, Deadline: 10 * time.Second}
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
		type due struct{ stage, piece int }
		var open []due
		started := map[int]bool{}
		made := map[due]string{}
		handles := func(stage int) (out []string) {
			for k := range config.Pieces[stage] {
				out = append(out, made[due{stage, k}])
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
				for _, before := range config.Stages[job.Stage].After {
					want = append(want, handles(before)...)
				}
				if !slices.Equal(job.Inputs, want) || slices.Contains(want, "") {
					t.Fatalf("stage %d has inputs %v, want %v", job.Stage, job.Inputs, want)
				}
				for _, piece := range job.Pieces {
					open = append(open, due{job.Stage, piece})
				}
			}
			if len(open) == 0 {
				t.Fatal("nothing can start and not all is made")
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
			d := open[i]
			handle := fmt.Sprintf("h%d-%d-%d", d.stage, d.piece, len(made))
			if fresh := p.Made(d.stage, d.piece, handle, "z"); fresh != (made[d] == "") {
				t.Fatalf("a result counted as new: %v", fresh)
			}
			if made[d] == "" {
				made[d] = handle
			}
			if rapid.Bool().Draw(t, "once") {
				open = slices.Delete(open, i, i+1)
			}
		}
		var want []string
		for i := range n {
			last := !slices.ContainsFunc(config.Stages, func(s tanagerroad.CatalogStage) bool { return slices.Contains(s.After, i) })
			if last {
				want = append(want, handles(i)...)
			}
		}
		if got := p.Inputs(); !slices.Equal(got, want) {
			t.Fatalf("inputs %v, want %v", got, want)
		}
	})
}

// TestRestartsAreBounded: lost results are made again, but not for ever.
func TestRestartsAreBounded(t *testing.T) {
	p := pipeline.New(pipeline.Config{
		Stages: []tanagerroad.CatalogStage{{Pool: "a"}}, Pieces: []int{1}, Traits: traits, Aim: time.Second, Deadline: time.Second,
	})
	for i := range 3 {
		if len(p.Ready()) != 1 {
			t.Fatalf("round %d: the stage is not started", i)
		}
		p.Made(0, 0, "h", "z")
		if _, ok := p.Restart(); ok != (i < 2) {
			t.Errorf("round %d: restart %v", i, ok)
		}
	}
}
