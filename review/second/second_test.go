//go:build review

// Package second runs the cases of the second independent review.
package second

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestSecondReviewCases fails for each case whose rule is broken. It builds the programs of the deploy file and
// the stand-ins first.
func TestSecondReviewCases(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, build := range []string{"go build -ldflags='-s -w -linkmode=external' -o target/ ./platform/dataplane ./platform/controlplane", "bash review/build-2.sh"} {
		command := exec.Command("bash", "-c", build)
		command.Dir = root
		if out, err := command.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v: %s", build, err, out)
		}
	}
	scripts, err := filepath.Glob(filepath.Join(root, "review", "[0-9]*", "run.sh"))
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		number := filepath.Base(filepath.Dir(script))
		if number < "6" && number != "10" {
			continue
		}
		t.Run(number, func(t *testing.T) {
			out, err := exec.Command("bash", script).CombinedOutput()
			var ended *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &ended) && ended.ExitCode() == 1:
				t.Errorf("case %s: the rule is broken, see review/%s/record.txt", number, number)
			default:
				t.Fatalf("case %s couldn't run: %v: %s", number, err, out)
			}
		})
	}
}
