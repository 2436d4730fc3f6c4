package overload_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	bytesPerMB = 1 << 20
	// fileDescriptors is the number of descriptors that are reserved for files.
	// Sockets and pipes may use the rest.
	fileDescriptors = 200
	// manyDescriptors is the limit of open descriptors in tests with fewer clients.
	manyDescriptors = 1024
	// fewDescriptors is the limit in tests with silentClients, which are more.
	fewDescriptors = 320
	// sampleInterval is the interval of samples of a process's memory and descriptors.
	sampleInterval = 50 * time.Millisecond
	logTailBytes   = 2000
)

// process is a process of bulrushd that a test has started.
type process struct {
	pid int
	// descriptorLimit is the process's limit of open descriptors.
	descriptorLimit int
	logFile         string
	// exited is closed when the process has ended. state is set before that.
	exited chan struct{}
	state  *os.ProcessState

	mu   sync.Mutex
	peak usage
}

// usage is the highest memory and the most descriptors that samples have shown.
type usage struct {
	memory      int64
	descriptors int
	// sockets counts the sockets and pipes among the descriptors.
	sockets int
}

// startProcess runs a command of bulrushd with a settings file, and kills it at the end
// of the test.
func startProcess(t *testing.T, descriptorLimit int, command string, settings any) *process {
	t.Helper()
	dir := t.TempDir()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	settingsFile := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(settingsFile, text, 0o600); err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{descriptorLimit: descriptorLimit, logFile: filepath.Join(dir, "log"), exited: make(chan struct{})}
	log, err := os.Create(p.logFile)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(self, program, command, "-settings", settingsFile)
	cmd.Env = append(os.Environ(), descriptorsVariable+"="+strconv.Itoa(descriptorLimit))
	cmd.Stdout, cmd.Stderr = log, log
	started := make(chan error)
	go p.run(cmd, started)
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// It fails only if the process has ended.
		_ = cmd.Process.Kill()
		<-p.exited
	})
	go p.sampleUntilExit()
	return p
}

// run runs the process until it ends. The process is killed if the test program ends
// without its cleanups, as on a timeout.
func (p *process) run(cmd *exec.Cmd, started chan<- error) {
	defer close(p.exited)
	// The signal is sent when the thread that has started the process ends.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		started <- err
		return
	}
	p.pid = cmd.Process.Pid
	started <- nil
	// Its error is also in the state.
	_ = cmd.Wait()
	p.state = cmd.ProcessState
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) sampleUntilExit() {
	for {
		p.sample()
		select {
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// sample updates the peak usage. A process that has ended changes nothing.
func (p *process) sample() {
	memory := readPeakMemory(p.pid)
	descriptors, sockets := countDescriptors(p.pid)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak.memory = max(p.peak.memory, memory)
	p.peak.descriptors = max(p.peak.descriptors, descriptors)
	p.peak.sockets = max(p.peak.sockets, sockets)
}

func (p *process) peakUsage() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak
}

// readPeakMemory returns the peak resident memory of a process in bytes, or 0 if it has
// ended.
func readPeakMemory(pid int) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for s := bufio.NewScanner(file); s.Scan(); {
		if text, ok := strings.CutPrefix(s.Text(), "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(text, "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// countDescriptors returns the number of open descriptors of a process, and that of
// sockets and pipes among them.
func countDescriptors(pid int) (all, sockets int) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		name, _ := os.Readlink(filepath.Join(dir, e.Name()))
		if strings.HasPrefix(name, "socket:") || strings.HasPrefix(name, "pipe:") {
			sockets++
		}
	}
	return len(entries), sockets
}

// check fails the test if the process has ended, or has exceeded its memory or its
// descriptors at any time.
func (p *process) check(t *testing.T, maxMemory int64) {
	t.Helper()
	p.sample()
	got := p.peakUsage()
	t.Logf("peak memory %d MB of %d MB, descriptors %d of %d, of these sockets and pipes %d of %d",
		got.memory/bytesPerMB, maxMemory/bytesPerMB, got.descriptors, p.descriptorLimit, got.sockets, p.descriptorLimit-fileDescriptors)
	if !p.alive() {
		t.Errorf("got a process that has ended (%v), want it alive; end of its log:\n%s", p.state, p.logTail())
	}
	if got.memory > maxMemory {
		t.Errorf("got a peak memory of %d MB, want at most %d MB", got.memory/bytesPerMB, maxMemory/bytesPerMB)
	}
	if got.descriptors >= p.descriptorLimit {
		t.Errorf("got %d open descriptors, want fewer than %d", got.descriptors, p.descriptorLimit)
	}
	if want := p.descriptorLimit - fileDescriptors; got.sockets > want {
		t.Errorf("got %d open sockets and pipes, want at most %d", got.sockets, want)
	}
}

func (p *process) logTail() string {
	text, _ := os.ReadFile(p.logFile)
	return string(text[max(0, len(text)-logTailBytes):])
}
