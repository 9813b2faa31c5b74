package harness

// T is the part of testing.TB that the harness needs, so that a command can
// start processes too.
type T interface {
	Helper()
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
	Cleanup(func())
	Failed() bool
	TempDir() string
}
