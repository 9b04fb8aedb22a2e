package systemtest

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// processTimeout is the longest time to wait for one step of a process, such as its start, its exit or an answer.
const processTimeout = 20 * time.Second

// process is one process of the system. Signals go to its process ID only.
type process struct {
	name string
	log  string
	path string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

// start runs the command line and appends its output to the log file.
func (p *process) start() {
	GinkgoHelper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	Expect(p.cmd.Start()).To(Succeed())
	done := make(chan struct{})
	p.done = done
	go func() {
		defer close(done)
		defer func() { _ = log.Close() }()
		_ = p.cmd.Wait()
		p.code = p.cmd.ProcessState.ExitCode()
	}()
}

func (p *process) signal(s syscall.Signal) {
	GinkgoHelper()
	Expect(p.cmd.Process.Signal(s)).To(Succeed(), p.name)
}

// Freeze suspends the process with SIGSTOP, as on a paused host.
func (p *process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume continues a process suspended by Freeze.
func (p *process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown with SIGTERM.
func (p *process) Terminate() { p.signal(syscall.SIGTERM) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *process) Kill() {
	GinkgoHelper()
	p.signal(syscall.SIGKILL)
	p.wait()
}

// Restart waits until the process has exited and starts it again with the same command line.
func (p *process) Restart() {
	GinkgoHelper()
	p.wait()
	p.start()
}

// wait waits until the process has exited and returns its exit code.
func (p *process) wait() int {
	GinkgoHelper()
	Eventually(p.done, processTimeout).Should(BeClosed(), p.name+" did not exit")
	return p.code
}

// stop kills the process in whatever state it is, also when it has already exited.
func (p *process) stop() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) logText() string {
	GinkgoHelper()
	raw, err := os.ReadFile(p.log)
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// binaries is the directory of the built programs.
var binaries string

var _ = BeforeSuite(func() {
	var err error
	binaries, err = os.MkdirTemp("", "systemtest")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, binaries)
	build := exec.Command("go", "build", "-o", binaries, "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	output, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})

// Loopback addresses that freeAddress returned, and their IP address. An IP address of this process alone keeps other
// tests and outgoing connections, which use 127.0.0.1, from taking a port between freeAddress and the start of a
// process.
var (
	startMu         sync.Mutex // guards issuedAddresses, and the cleanups of systems that start together
	issuedAddresses = map[string]bool{}
	loopbackIP      = fmt.Sprintf("127.77.%d.%d", os.Getpid()>>8&0xff, 1+os.Getpid()&0xff%250)
)

// freeAddress returns a loopback address, host:port, that nothing listens on and that it has not returned before.
func freeAddress() string {
	GinkgoHelper()
	startMu.Lock()
	defer startMu.Unlock()
	for {
		l, err := net.Listen("tcp", loopbackIP+":0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		if !issuedAddresses[address] {
			issuedAddresses[address] = true
			return address
		}
	}
}
