package harness

// T is the part of testing.TB that the harness uses. A command can implement it to start processes
// outside of a test.
type T interface {
	Helper()
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
	Cleanup(func())
	Failed() bool
	TempDir() string
}
