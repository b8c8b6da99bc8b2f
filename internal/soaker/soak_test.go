package soaker

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// TestSoak guards against promises that break when processes, links, the store
// and upstreams fail. Longer runs and other seeds are played with cmd/soak.
func TestSoak(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	program := filepath.Join(folder, "azuretrestle")
	is.NoErr(Build(context.Background(), program))
	var out strings.Builder
	report, err := Run(context.Background(), Options{
		Program: program, Folder: folder, Seed: 7, Length: 12 * time.Second,
		Size: Size{Entries: 3, Upstreams: 4}, Callers: 6, Out: io.Discard,
	})
	is.NoErr(err)
	report.Write(&out)
	t.Log(out.String())
	is.Equal(len(report.Violations), 0)
	const served = 300
	is.True(report.Outcomes["200"] > served) // a run in which little is served shows nothing
}

// TestCommandLine guards against a command line that is taken although it makes no sense.
func TestCommandLine(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{"-entries", "1"}, {"-entries", "500"}, {"-upstreams", "2"}, {"-for", "0s"}, {"-callers", "0"}, {"-x"}} {
		is.Equal(Main(args, os.Stderr, &strings.Builder{}), ExitUsage)
	}
	var out, problems strings.Builder
	is.Equal(Main([]string{"-program", "/does/not/exist", "-for", "1s"}, &out, &problems), ExitBroken)
	is.True(strings.Contains(problems.String(), "not played"))
}

// TestStartAfterEnd guards against a server that starts as the run ends and that
// nothing closes; seeds 6, 108 and 125 did not end because of it.
func TestStartAfterEnd(t *testing.T) {
	is := is.New(t)
	w := &world{network: network(os.Getpid()), broken: make(map[faker.StoreFault]int)}
	w.ctx, w.cancel = context.WithCancelCause(context.Background())
	u := &upstream{world: w}
	w.upstreams = []*upstream{u}
	is.NoErr(u.start(serviceOnce, nil))
	w.close()
	is.NoErr(u.start(serviceOnce, nil))
	is.Equal(u.count, 1)
}
