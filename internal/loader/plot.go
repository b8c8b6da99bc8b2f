package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotStep is the length of time that one point of a plot covers.
const plotStep = 500 * time.Millisecond

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// series is the p99 of the correct responses of one rank over time.
type series struct {
	name   string
	points plotter.XYs
}

// newSeries returns the series of the rank at an index. The results must be in the order
// of their intended starts.
func newSeries(begin time.Time, index int, rank Rank, results []result) series {
	s := series{name: rank.Service + "/" + rank.Name}
	h := hdrhistogram.New(1, histogramMax, histogramDigits)
	end := begin.Add(plotStep)
	for _, res := range results {
		if res.rank != index || res.class != classCorrect {
			continue
		}
		for res.at.After(end) {
			s.add(begin, end, h)
			end = end.Add(plotStep)
		}
		_ = h.RecordValue(min(res.latency.Microseconds(), histogramMax))
	}
	s.add(begin, end, h)
	return s
}

// add appends the p99 of a histogram as the point at end, unless the histogram is empty, and resets the histogram.
func (s *series) add(begin, end time.Time, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	p99 := time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	s.points = append(s.points, plotter.XY{X: end.Sub(begin).Seconds(), Y: float64(p99) / float64(time.Millisecond)})
	h.Reset()
}

// Plot writes a plot of the p99 over time to a .png or .svg file. It fails for
// other file name extensions, or if the file can't be written.
func (rep *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "p99 of correct answers, from the intended start"
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "latency (ms)"
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, s := range rep.series {
		if len(s.points) > 0 {
			lines = append(lines, s.name, s.points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plot not drawn")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "plot not written")
}
