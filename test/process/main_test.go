// Package process tests the system as real processes, with faults in the processes and on the
// links between them. The comment of each test names the failure that the test guards against.
package process

import (
	"os"
	"testing"

	"github.com/citronstep/citronstep/test/process/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }
