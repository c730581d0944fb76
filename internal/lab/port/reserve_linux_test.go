package port

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"testing"
)

// helperEnv is the environment variable that makes the test binary allocate all ports of a range.
const helperEnv = "WHEELHOIST_TEST_PORTS"

// TestMain runs the tests or, if helperEnv is set, allocates the ports of that range, prints them
// and keeps them until its standard input is closed.
func TestMain(m *testing.M) {
	var low, high int
	if _, err := fmt.Sscan(os.Getenv(helperEnv), &low, &high); err != nil {
		os.Exit(m.Run())
	}
	helper := allocator{start: low, end: high}
	for address, err := helper.allocate(); err == nil; address, err = helper.allocate() {
		fmt.Println(address)
	}
	fmt.Println("end")
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// allocateInHelper starts a process that allocates all ports from low to high-1 and keeps them until
// release is called. It returns the number of ports allocated.
func allocateInHelper(t *testing.T, low, high int) (count int, release func()) {
	t.Helper()
	helper := exec.CommandContext(t.Context(), os.Args[0])
	helper.Env = append(os.Environ(), fmt.Sprintf("%s=%d %d", helperEnv, low, high))
	input, err := helper.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := helper.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := helper.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(output)
	for lines.Scan() && lines.Text() != "end" {
		count++
	}
	return count, func() {
		_ = input.Close()
		if err := helper.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// Tests of different packages run in parallel processes. Guards against a port that one process has
// allocated, but does not listen on yet, being allocated by another.
func TestFree_ReservesPortAcrossProcesses(t *testing.T) {
	// Below the range of Free, so that other packages are not disturbed, and at a random offset,
	// because the same test may run elsewhere on the machine.
	low := minPort - 8*(1+rand.IntN(500))
	high := low + 8
	count, release := allocateInHelper(t, low, high)
	if count == 0 {
		t.Fatal("the other process allocated no port")
	}
	local := allocator{start: low, end: high}
	if address, err := local.allocate(); !errors.Is(err, ErrNoneFree) {
		t.Errorf("got %s, error %v, while another process has reserved all %d ports", address, err, count)
	}
	release()
	if _, err := local.allocate(); err != nil {
		t.Errorf("after the other process exited: %v", err)
	}
}
