package replica

import (
	"os"
	"testing"

	"go.uber.org/goleak"

	"github.com/citronstep/citronstep/internal/invariant"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	_ = os.Setenv(invariant.FatalEnvVar, "1")
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"))
}
