package harness

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"testing"

	"github.com/juju/errors"
)

// modulePath is the path of the module whose programs are built.
const modulePath = "github.com/citronstep/citronstep"

// programs are the packages of the programs that tests start.
var programs = map[string]string{
	"citronstepd":        modulePath + "/cmd/citronstepd",
	"citronstep":         modulePath + "/cmd/citronstep",
	"citronstep-standin": modulePath + "/test/standin/cmd/citronstep-standin",
}

var raceBuild = flag.Bool("process-race", false, "build the processes under test with the race detector")

var builder = struct {
	sync.Mutex
	folder string
	built  map[string]string
}{built: map[string]string{}}

// Main runs a package's tests and removes the programs that they built. A
// TestMain calls it.
func Main(m *testing.M) int {
	defer RemovePrograms()
	flag.Parse()
	// Without a wish of its own the run has few clusters at once: each is up to
	// a dozen processes that must get their share of the machine.
	if f := flag.Lookup("test.parallel"); f != nil && f.Value.String() == strconv.Itoa(runtime.GOMAXPROCS(0)) {
		_ = f.Value.Set(strconv.Itoa(maxParallelClusters))
	}
	return m.Run()
}

const maxParallelClusters = 4

// RemovePrograms removes the programs built by this process.
func RemovePrograms() {
	builder.Lock()
	defer builder.Unlock()
	if builder.folder != "" {
		_ = os.RemoveAll(builder.folder)
	}
	builder.folder = ""
	builder.built = map[string]string{}
}

// Program builds a program once and returns its path.
func Program(t T, name string) string {
	t.Helper()
	builder.Lock()
	defer builder.Unlock()
	if path, ok := builder.built[name]; ok {
		return path
	}
	path, err := build(name)
	if err != nil {
		t.Fatalf("building %s: %v", name, err)
	}
	builder.built[name] = path
	return path
}

func build(name string) (string, error) {
	if builder.folder == "" {
		folder, err := os.MkdirTemp("", "citronstep-process-test-")
		if err != nil {
			return "", err
		}
		builder.folder = folder
	}
	path := filepath.Join(builder.folder, name)
	arguments := []string{"build", "-o", path}
	if *raceBuild {
		arguments = append(arguments, "-race")
	}
	out, err := exec.Command("go", append(arguments, programs[name])...).CombinedOutput()
	if err != nil {
		return "", errors.Annotate(err, string(out))
	}
	return path, nil
}
