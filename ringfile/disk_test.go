package ringfile

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"sloeturn/wire"
)

func openDisk(t *testing.T, path string) (string, bool) {
	d, err := OpenDir(path)
	require.NoError(t, err)
	defer d.Close()
	r, got, err := Open(d, 3, 64<<10)
	require.NoError(t, err)
	defer r.Close()
	if got == nil {
		require.NoError(t, r.Write([]*wire.Record{
			{Body: &wire.Record_Snapshot{Snapshot: &wire.Snapshot{LastIndex: 1, LastTerm: 1, Roster: &wire.Roster{}}}},
			{Body: &wire.Record_HardState{HardState: &wire.HardState{Term: 7, Voted: "me"}}},
		}))
	}
	return d.ID, got != nil
}

func TestADiskKeepsItsIdWithItsRecordsAndGetsANewOneWithoutThem(t *testing.T) {
	path := filepath.Join(t.TempDir(), "made", "too")
	id, had := openDisk(t, path)
	require.False(t, had)
	again, had := openDisk(t, path)
	require.True(t, had)
	require.Equal(t, id, again)
	for _, gone := range [][]string{{"ring-00"}, {"ring-01"}, {"ring-00", "ring-01", "ring-02"}} {
		for _, name := range gone {
			require.NoError(t, os.Remove(filepath.Join(path, name)))
		}
		next, _ := openDisk(t, path)
		require.NotEqual(t, id, next, "%v", gone)
		again, _ := openDisk(t, path)
		require.Equal(t, next, again)
		id = next
	}
}

func TestAnIdWithoutARingWasNeverTold(t *testing.T) {
	path := t.TempDir()
	d, err := OpenDir(path)
	require.NoError(t, err)
	d.Close()
	id, had := openDisk(t, path)
	require.False(t, had)
	require.NotEqual(t, d.ID, id, "cut off before the ring was made; a new id harms nobody")
}

func TestADiskThatGetsANewIdFoundsNothingAnyMore(t *testing.T) {
	path := t.TempDir()
	openDisk(t, path)
	founders := func() []string {
		d, err := OpenDir(path)
		require.NoError(t, err)
		defer d.Close()
		list, err := d.Founders()
		require.NoError(t, err)
		return list
	}
	d, err := OpenDir(path)
	require.NoError(t, err)
	require.NoError(t, d.KeepFounders([]string{"a:1", "b:1"}))
	d.Close()
	require.Len(t, founders(), 2)
	require.NoError(t, os.Remove(filepath.Join(path, "ring-00")))
	require.Empty(t, founders(), "its old id may stand in a roster, so it isn't the one that starts for the first time")
}

func TestARingThatGrowsKeepsItsId(t *testing.T) {
	path := t.TempDir()
	id, _ := openDisk(t, path)
	d, err := OpenDir(path)
	require.NoError(t, err)
	r, got, err := Open(d, 5, 64<<10)
	require.NoError(t, err)
	require.NotNil(t, got)
	r.Close()
	d.Close()
	require.Equal(t, id, d.ID)
}
