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

// modulePath is the path of the Go module that holds the programs under test.
const modulePath = "github.com/citronstep/citronstep"

// programs maps the name of each program that tests start to its package.
var programs = map[string]string{
	"citronstepd":        modulePath + "/cmd/citronstepd",
	"citronstep":         modulePath + "/cmd/citronstep",
	"citronstep-standin": modulePath + "/test/standin/cmd/citronstep-standin",
}

// buildTag adds the means to cut a daemon's links to backend servers.
const buildTag = "citronstep_test_links"

var raceBuild = flag.Bool("process-race", false, "build the processes under test with the race detector")

// builder holds the folder of built programs and the path of each program built so far.
var builder = struct {
	sync.Mutex
	folder string
	built  map[string]string
}{built: map[string]string{}}

// Main runs a package's tests and then removes the programs that the tests built. It is to be
// called from TestMain.
func Main(m *testing.M) int {
	defer RemovePrograms()
	flag.Parse()
	// Unless -test.parallel was set, few clusters run at once: a cluster has up to
	// a dozen processes, which need their share of the machine.
	if f := flag.Lookup("test.parallel"); f != nil && f.Value.String() == strconv.Itoa(runtime.GOMAXPROCS(0)) {
		_ = f.Value.Set(strconv.Itoa(maxParallelClusters))
	}
	return m.Run()
}

// maxParallelClusters is the default for -test.parallel in packages that start clusters.
const maxParallelClusters = 4

// RemovePrograms removes the programs that this test process has built.
func RemovePrograms() {
	builder.Lock()
	defer builder.Unlock()
	if builder.folder != "" {
		_ = os.RemoveAll(builder.folder)
	}
	builder.folder = ""
	builder.built = map[string]string{}
}

// Program returns the path of a program and builds it on the first call.
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
	arguments := []string{"build", "-tags", buildTag, "-o", path}
	if *raceBuild {
		arguments = append(arguments, "-race")
	}
	out, err := exec.Command("go", append(arguments, programs[name])...).CombinedOutput()
	if err != nil {
		return "", errors.Annotate(err, string(out))
	}
	return path, nil
}
