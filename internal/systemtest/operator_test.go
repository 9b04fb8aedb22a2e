package systemtest

import (
	"errors"
	"os"
	"os/exec"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("pomeloctl", func() {
	// Guards against reporting the table service as unavailable although it answered. With two threads it is likely
	// that the client of the table service closes its connection while it reads the answer.
	It("reads the configuration every time while the table service works", func() {
		const workers, runs = 4, 200
		s := NewSystem(layout{})
		Expect(os.Setenv("GOMAXPROCS", "2")).To(Succeed())
		DeferCleanup(os.Unsetenv, "GOMAXPROCS")
		var wg sync.WaitGroup
		failures := make(chan string, workers*runs)
		for range workers {
			wg.Go(func() {
				for range runs {
					_, err := s.runCtl([]string{"organisation", "list"})
					var exit *exec.ExitError
					if errors.As(err, &exit) {
						failures <- string(exit.Stderr)
					}
				}
			})
		}
		wg.Wait()
		failed := len(failures)
		close(failures)
		Expect(failed).To(BeZero(), "of %d; the first: %s", workers*runs, <-failures)
	})
})
