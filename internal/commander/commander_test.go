package commander

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"azuretrestle": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// scriptPorts is the number of free ports that a script gets as $P1, $P2 and so on.
const scriptPorts = 9

func setPorts(env *testscript.Env) error {
	free, err := freePorts(scriptPorts)
	for i, a := range free {
		env.Setenv("P"+strconv.Itoa(i+1), strconv.Itoa(int(a.Port())))
	}
	return err
}

// waitURL waits until a GET of the URL returns any status.
func waitURL(ts *testscript.TestScript, _ bool, args []string) {
	for range 500 {
		resp, err := http.Get(args[0])
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("%s did not respond within 5 s", args[0])
}

// get writes the status, outcome and body of a response, or the error, to a file.
func get(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), fetch(args[0]), 0o600))
}

// backgroundGets counts the requests of getlater that are in progress.
var backgroundGets sync.WaitGroup

// getLater runs get in the background; waitget waits for all such requests.
func getLater(ts *testscript.TestScript, _ bool, args []string) {
	name := ts.MkAbs(args[1])
	backgroundGets.Go(func() { _ = os.WriteFile(name, fetch(args[0]), 0o600) })
}

func fetch(url string) []byte {
	resp, err := http.Get(url)
	if err != nil {
		return []byte(err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return fmt.Appendf(nil, "%d %s %v\n%s", resp.StatusCode, resp.Header.Get("Azuretrestle-Outcome"), err, body)
}

// TestScripts guards against commands that don't work together as separate
// processes; each script states what it checks.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setPorts,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"waiturl":  waitURL,
			"get":      get,
			"getlater": getLater,
			"waitget":  func(*testscript.TestScript, bool, []string) { backgroundGets.Wait() },
			"status":   exitStatus,
			"envfile":  envFile,
		},
	})
}

// exitStatus runs the command line args[1:] and checks that its exit status is args[0].
func exitStatus(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := 0
	if err != nil {
		if _, scanErr := fmt.Sscanf(err.Error(), "exit status %d", &got); scanErr != nil {
			ts.Fatalf("%v", err)
		}
	}
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit status %d, want %s", got, args[0])
	}
}

// envFile expands the variables in files, since the free ports differ from run to run.
func envFile(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}
