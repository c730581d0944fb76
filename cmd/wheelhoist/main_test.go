package main

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wheelhoist/wheelhoist/internal/command"
	"github.com/wheelhoist/wheelhoist/internal/lab/profile"
	"github.com/wheelhoist/wheelhoist/internal/lab/site"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wheelhoist": func() { os.Exit(command.Main(os.Args[1:])) },
	})
}

// contextBeforeDeadline returns a context that ends shortly before the test's deadline, so that a
// failure is reported before the test binary is killed.
func contextBeforeDeadline(t *testing.T) context.Context {
	t.Helper()
	const margin = 30 * time.Second
	deadline, ok := t.Deadline()
	if !ok {
		return t.Context()
	}
	ctx, cancel := context.WithDeadline(t.Context(), deadline.Add(-margin))
	t.Cleanup(cancel)
	return ctx
}

// TestScripts runs the command line scripts in testdata against a running site.
func TestScripts(t *testing.T) {
	running, err := site.Start(contextBeforeDeadline(t), site.Config{Profile: profile.Urnik, Nodes: 2, Listen: "127.0.0.1:0", Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Close)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("WHEELHOIST_SERVER", running.Nodes()[0].URL())
			env.Setenv("OTHER_NODE", running.Nodes()[1].URL())
			env.Setenv("OPERATOR_KEY", site.OperatorKey)
			env.Setenv("TENANT_KEY", site.TenantKey)
			return nil
		},
	})
}
