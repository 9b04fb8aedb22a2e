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

// startTime bounds the start and the end of one process.
const startTime = 20 * time.Second

// process is one process of the system. It is signalled by its process ID only.
type process struct {
	name string
	log  string
	path string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

// start runs the command line with its output appended to the log.
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

// Freeze stops the process as a paused host does.
func (p *process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks for a graceful shutdown.
func (p *process) Terminate() { p.signal(syscall.SIGTERM) }

// Kill ends the process at once and waits for its end.
func (p *process) Kill() {
	GinkgoHelper()
	p.signal(syscall.SIGKILL)
	p.wait()
}

// Restart starts an ended process again with the same command line.
func (p *process) Restart() {
	GinkgoHelper()
	p.wait()
	p.start()
}

// wait returns the exit code.
func (p *process) wait() int {
	GinkgoHelper()
	Eventually(p.done, startTime).Should(BeClosed(), p.name+" did not end")
	return p.code
}

// stop ends the process, whatever its state is.
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

// binaries is the directory with the built binaries.
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

// Addresses that this process gave out, and their IP number. An IP number of its own keeps other tests and
// outgoing connections, which use 127.0.0.1, from taking a port between freeAddress and the start of a process.
var (
	startMu sync.Mutex // guards given, and the cleanups of systems that start together
	given   = map[string]bool{}
	ownIP   = fmt.Sprintf("127.77.%d.%d", os.Getpid()>>8&0xff, 1+os.Getpid()&0xff%250)
)

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() string {
	GinkgoHelper()
	startMu.Lock()
	defer startMu.Unlock()
	for {
		l, err := net.Listen("tcp", ownIP+":0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		if !given[address] {
			given[address] = true
			return address
		}
	}
}
