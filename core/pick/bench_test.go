package pick_test

import (
	"fmt"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/pick"
)

// BenchmarkScored measures one Pick and its Done, for pools of three sizes.
func BenchmarkScored(b *testing.B) {
	for _, n := range []int{5, 40, 600} {
		b.Run(fmt.Sprintf("servers-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			p := pick.NewScored(noPrice)
			p.Observe(0, servers(n))
			for i := 0; b.Loop(); i++ {
				at := time.Duration(i) * time.Millisecond
				c := p.Pick(at, tanagerroad.PickRequest{Pool: "p", InputPlace: here, Seed: uint64(i)})
				p.Done(at+time.Millisecond, tanagerroad.AttemptResult{Server: c.Server, Pool: "p", ServiceTime: time.Millisecond, OK: true})
			}
		})
	}
}
