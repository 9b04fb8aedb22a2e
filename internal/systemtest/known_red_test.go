package systemtest

import (
	"os"
	"os/exec"
	"testing"
)

// knownRed labels the specs that are listed in KNOWN-RED.txt. They run in TestSystemKnownRed, so that scripts/test
// can skip exactly these.
const knownRed = "known-red"

// knownRedSpecs are the titles of the specs that KNOWN-RED.txt lists.
var knownRedSpecs []string

// TestSystemKnownRed runs the specs labelled knownRed in a child process, because Ginkgo runs only one suite in a
// process.
func TestSystemKnownRed(t *testing.T) {
	command := exec.Command(os.Args[0], "-test.run=^TestSystem$", "-ginkgo.no-color", "-ginkgo.label-filter="+knownRed)
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
}
