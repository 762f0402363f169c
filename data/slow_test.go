package data

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// step ends a step of the watch after a time, as if its timer had fired where that is due.
func (w *slowWatch) step(bytes int64, took time.Duration) {
	w.begin()
	if took > slowAfter {
		w.expire()
	}
	w.end(bytes, took)
}

func TestAClientIsSlowWhileAStepTakesLongOrTheLastOnesDid(t *testing.T) {
	var reports []bool
	w := &slowWatch{report: func(slow bool) { reports = append(reports, slow) }}
	expect := func(want ...bool) {
		t.Helper()
		require.Equal(t, want, reports)
		reports = nil
	}
	w.step(1, slowAfter/2)
	expect()
	w.step(1<<20, 2*slowAfter)
	expect(true, false)
	w.expire()
	expect()
	for range 40 {
		w.step(32<<10, 80*time.Millisecond)
	}
	expect(true)
	for range 40 {
		w.step(256<<10, 80*time.Millisecond)
	}
	expect(false)
	for range 40 {
		w.step(32<<10, 80*time.Millisecond)
	}
	w.finish()
	expect(true, false)
}

func TestStepsThatAreQuickAreNotSlowHoweverLongTheTransferTakes(t *testing.T) {
	w := &slowWatch{report: func(bool) { require.Fail(t, "is reported as slow") }}
	for range 10000 {
		w.step(32<<10, time.Millisecond)
	}
}
