package overload_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
)

const (
	// enabledVariable is the environment variable that enables the tests if it is 1.
	enabledVariable = "BULRUSHSHED_OVERLOAD"
	// descriptorsVariable makes the test program run its arguments as a command with
	// that limit of open descriptors.
	descriptorsVariable = "BULRUSHSHED_OVERLOAD_DESCRIPTORS"
)

// program is the path of the compiled bulrushd.
var program string

func TestMain(m *testing.M) {
	if limit := os.Getenv(descriptorsVariable); limit != "" {
		fmt.Fprintln(os.Stderr, runLimited(limit, os.Args[1:]))
		os.Exit(1)
	}
	os.Exit(runTests(m))
}

// runLimited replaces this process by a command with a limit of open descriptors. It
// returns only if that fails.
func runLimited(limit string, command []string) error {
	n, err := strconv.ParseUint(limit, 10, 64)
	if err != nil {
		return err
	}
	// The hard limit is lowered, too, as the Go runtime raises the soft limit to it.
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		return err
	}
	if err := os.Unsetenv(descriptorsVariable); err != nil {
		return err
	}
	return syscall.Exec(command[0], command, os.Environ())
}

func runTests(m *testing.M) int {
	if os.Getenv(enabledVariable) != "1" {
		return m.Run() // all tests are skipped
	}
	dir, err := os.MkdirTemp("", "bulrushshed")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "bulrushd")
	build := exec.Command("go", "build", "-o", program, "bulrushshed/cmd/bulrushd")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

func requireEnabled(t *testing.T) {
	t.Helper()
	if os.Getenv(enabledVariable) != "1" {
		t.Skipf("%s=1 is not set", enabledVariable)
	}
}

// subnets counts the loopback subnets that this process has used.
var subnets atomic.Int32

// newSubnet returns the first three bytes of addresses that no other test uses.
func newSubnet() string {
	const first, count = 150, 40
	return fmt.Sprintf("127.%d.%d", first+os.Getpid()%count, subnets.Add(1))
}
