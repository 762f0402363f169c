//go:build review

// Package review holds the cases of an independent review; each breaks a rule of the platform's pages.
package review

import (
	"os/exec"
	"testing"
)

// TestReviewCases runs the cases' scripts. Each is expected to pass once its fault is mended: until
// then it fails.
func TestReviewCases(t *testing.T) {
	if out, err := exec.Command("bash", "build.sh").CombinedOutput(); err != nil {
		t.Fatalf("build.sh: %v\n%s", err, out)
	}
	build := exec.Command("go", "build", "-ldflags=-s -w -linkmode=external", "-o", "target/", "./platform/dataplane", "./platform/controlplane")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, n := range []string{"1", "2", "3"} {
		t.Run(n, func(t *testing.T) {
			if out, err := exec.Command("bash", n+"/run.sh").CombinedOutput(); err != nil {
				t.Errorf("review/%s/run.sh: %v\n%s", n, err, out)
			}
		})
	}
}
