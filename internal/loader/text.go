package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as a table; it returns the error of w.
func (rep *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "rank\toffered\twithin target\tlate\twrong\tnot run\tunknown\tnot sent\tp50\tp99\tp99.9\tmax\truns 0/1/more\t")
	for _, r := range rep.Ranks {
		_, _ = fmt.Fprintf(t, "%s/%s\t%d\t%d (%.2f%%)\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n",
			r.Service, r.Rank, r.Offered, r.Within, 100*r.Share(), r.Late, r.Wrong, r.NotRun, r.Unknown, r.NotSent,
			milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.P999), milliseconds(r.Max), r.executions())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range rep.Ranks {
		if len(r.Codes) > 0 {
			_, _ = fmt.Fprintf(w, "%s/%s without an answer: %s\n", r.Service, r.Rank, counts(r.Codes))
		}
	}
	for _, b := range rep.Broken {
		_, _ = fmt.Fprintln(w, "BROKEN:", b)
	}
	_, err := fmt.Fprintln(w, "latency counts from the intended start, over correct answers, in ms")
	return err
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

func (r RankReport) executions() string {
	if r.Executions == nil {
		return "-"
	}
	more := 0
	for n, c := range r.Executions {
		if n > 1 {
			more += c
		}
	}
	return fmt.Sprintf("%d/%d/%d", r.Executions[0], r.Executions[1], more)
}

func counts(m map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%d %s", m[k], k))
	}
	return strings.Join(parts, ", ")
}
