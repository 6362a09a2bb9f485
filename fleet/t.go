package fleet

// T is the part of testing.TB that the harness needs. It satisfies assert.TestingT of gotest.tools.
type T interface {
	ArtifactDir() string
	Cleanup(cleanup func())
	Errorf(format string, args ...any)
	Fail()
	FailNow()
	Failed() bool
	Fatalf(format string, args ...any)
	Helper()
	Log(args ...any)
	Logf(format string, args ...any)
	Name() string
}

// check ends the test if err is not nil.
func check(t T, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("%v", err)
	}
}
