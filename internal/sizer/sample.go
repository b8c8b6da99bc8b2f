package sizer

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// samplePrefix precedes each sample in the output of a test.
const samplePrefix = "sample "

// Sample is one measured value of a quantity at one size.
type Sample struct {
	// Quantity names what was measured and ends with its unit.
	Quantity string
	Size     int
	Value    float64
}

// String returns the sample in the form that Parse reads.
func (s Sample) String() string {
	return fmt.Sprintf("%s%s %d %.1f", samplePrefix, s.Quantity, s.Size, s.Value)
}

// Samples holds measured values by quantity, each sorted by size.
type Samples map[string][]Sample

// Parse reads the samples in test output and skips all other lines. It fails on a
// line that has the prefix of a sample but is malformed.
func Parse(r io.Reader) (Samples, error) {
	out := make(Samples)
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		_, text, ok := strings.Cut(lines.Text(), samplePrefix)
		if !ok {
			continue
		}
		s, err := parseSample(text)
		if err != nil {
			return nil, errors.Wrapf(err, "sample %q", text)
		}
		out[s.Quantity] = append(out[s.Quantity], s)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b Sample) int { return a.Size - b.Size })
	}
	return out, lines.Err()
}

func parseSample(text string) (Sample, error) {
	fields := strings.Fields(text)
	if len(fields) != 3 {
		return Sample{}, errors.Errorf("%d fields, want 3", len(fields))
	}
	size, err := strconv.Atoi(fields[1])
	if err != nil {
		return Sample{}, errors.Wrap(err, "size")
	}
	value, err := strconv.ParseFloat(fields[2], 64)
	return Sample{Quantity: fields[0], Size: size, Value: value}, errors.Wrap(err, "value")
}

// Line is a least-squares line through samples.
type Line struct {
	Base  float64
	Slope float64
	// Growth is the value at the largest size as a multiple of that at the smallest.
	Growth float64
}

// minSizes is the smallest number of sizes that a slope is fitted through.
const minSizes = 3

// Line fits a line to the samples of a quantity; it fails if there are fewer than three sizes.
func (s Samples) Line(quantity string) (Line, error) {
	list := s[quantity]
	if len(list) < minSizes {
		return Line{}, errors.Errorf("%s was measured at %d sizes, want %d", quantity, len(list), minSizes)
	}
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range list {
		x := float64(p.Size)
		sumX += x
		sumY += p.Value
		sumXX += x * x
		sumXY += x * p.Value
	}
	n := float64(len(list))
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return Line{Base: (sumY - slope*sumX) / n, Slope: slope, Growth: list[len(list)-1].Value / list[0].Value}, nil
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }
