package commander

import (
	"net/netip"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/parser"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const examples = "../../examples"

// exampleDirectories maps a directory of examples to its deployment.
var exampleDirectories = map[string]string{"koshi": "Koshi", "siam-lens": "SiamLens"}

// TestExamplePatches guards against example patches that differ from the
// deployments of the demo, or that can't be applied one after the other.
func TestExamplePatches(t *testing.T) {
	for dir, name := range exampleDirectories {
		t.Run(dir, func(t *testing.T) {
			is := is.New(t)
			p, err := parser.LoadPatch(filepath.Join(examples, dir, "patch.ini"))
			is.NoErr(err)
			got, err := new(patcher.Config).Apply(p)
			is.NoErr(err)
			seen := make(map[netip.AddrPort]bool)
			address := func(service, upstream string) netip.AddrPort {
				s, ok := got.Service(service)
				is.True(ok)
				u, ok := s.Upstream(upstream)
				is.True(ok)
				is.True(!seen[u.Address])
				seen[u.Address] = true
				return u.Address
			}
			want, err := new(patcher.Config).Apply(deployments[name].patch(address))
			is.NoErr(err)
			is.Equal(got, want)
			p, err = parser.LoadPatch(filepath.Join(examples, dir, "drain.ini"))
			is.NoErr(err)
			_, err = got.Apply(p)
			is.NoErr(err)
		})
	}
}

// TestExampleSettings guards against example settings of six entries that use the same
// address twice or don't list all entries as peers.
func TestExampleSettings(t *testing.T) {
	for dir, name := range exampleDirectories {
		t.Run(dir, func(t *testing.T) {
			is := is.New(t)
			files, err := filepath.Glob(filepath.Join(examples, dir, "e*.ini"))
			is.NoErr(err)
			is.Equal(len(files), maxDemoEntries)
			used := make(map[netip.AddrPort]bool)
			var peers []netip.AddrPort
			var all []*parser.Settings
			for _, file := range files {
				s, err := parser.Load(file)
				is.NoErr(err)
				for _, a := range []netip.AddrPort{s.Callers, s.Peers, s.Administration, s.Log, s.HostList} {
					is.True(!used[a])
				}
				used[s.Callers], used[s.Peers], used[s.Administration] = true, true, true
				is.True(slices.Contains(deployments[name].dataCentres, s.DataCentre))
				peers = append(peers, s.Peers)
				all = append(all, s)
			}
			for _, s := range all {
				is.Equal(s.Start, peers)
			}
		})
	}
}
