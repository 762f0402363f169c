package ringfile

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	"sloeturn/agreement"
	"sloeturn/wire"
)

type memFile struct {
	kept []byte
	now  []byte
	full bool
}

func (m *memFile) ReadAt(b []byte, off int64) (int, error) { return copy(b, m.now[off:]), nil }
func (m *memFile) WriteAt(b []byte, off int64) (int, error) {
	if m.full {
		return 0, fmt.Errorf("no space left")
	}
	return copy(m.now[off:], b), nil
}
func (m *memFile) Sync() error  { copy(m.kept, m.now); return nil }
func (m *memFile) Close() error { return nil }

type memDir map[string]*memFile

func (d memDir) Open(name string, size int64) (File, error) {
	if d[name] == nil {
		d[name] = &memFile{kept: make([]byte, size), now: make([]byte, size)}
	}
	return d[name], nil
}

func (d memDir) powerLoss(r *rand.Rand) {
	for _, f := range d {
		for off := 0; off < len(f.now); off += 512 {
			if r.Intn(2) == 0 {
				copy(f.now[off:off+512], f.kept[off:off+512])
			}
		}
		copy(f.kept, f.now)
	}
}

func entry(i uint64, size int) *wire.Record {
	return &wire.Record{Body: &wire.Record_Entry{Entry: &wire.Entry{Term: 1, Index: i, Change: &wire.Change{Body: &wire.Change_Claim{Claim: &wire.Claim{Visit: fmt.Sprint(i), Body: make([]byte, size)}}}}}}
}

func snap(i uint64, size int) *wire.Record {
	return &wire.Record{Body: &wire.Record_Snapshot{Snapshot: &wire.Snapshot{LastIndex: i, LastTerm: 1, Image: make([]byte, size)}}}
}

func hardState(term uint64) *wire.Record {
	return &wire.Record{Body: &wire.Record_HardState{HardState: &wire.HardState{Term: term, Voted: "a"}}}
}

func reopen(t *testing.T, d memDir) (*Ring, *agreement.Recovered) {
	r, got, err := Open(d, 4, 16384)
	require.NoError(t, err)
	return r, got
}

func TestSyncedRecordsOutliveManyPowerLosses(t *testing.T) {
	for seed := int64(0); seed < 60; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		d := memDir{}
		r, got := reopen(t, d)
		require.Nil(t, got)
		require.NoError(t, r.Write([]*wire.Record{snap(1, 10), hardState(1)}))
		base, last, term := uint64(1), uint64(1), uint64(1)
		for n := 0; n < 120; n++ {
			var recs []*wire.Record
			for k := rnd.Intn(4); k >= 0; k-- {
				last++
				recs = append(recs, entry(last, rnd.Intn(300)))
			}
			if r.Used() > 0.4 || rnd.Intn(20) == 0 {
				base = last
				recs = []*wire.Record{snap(base, rnd.Intn(18000))}
			}
			if rnd.Intn(5) == 0 {
				term++
				recs = append(recs, hardState(term))
			}
			require.NoError(t, r.Write(recs))
			if rnd.Intn(8) == 0 {
				for k := 0; k < 3; k++ {
					r.put(entry(last+1+uint64(k), rnd.Intn(900)))
				}
				d.powerLoss(rnd)
				r, got = reopen(t, d)
				require.Equal(t, base, got.Snapshot.LastIndex, "seed %d", seed)
				require.Equal(t, term, got.Term)
				require.GreaterOrEqual(t, len(got.Entries), int(last-base))
				for i, e := range got.Entries {
					require.Equal(t, base+1+uint64(i), e.Index)
				}
				last = base + uint64(len(got.Entries))
			}
		}
	}
}

func TestCorruptKeptRecordIsToldFromATornOne(t *testing.T) {
	d := memDir{}
	r, _ := reopen(t, d)
	require.NoError(t, r.Write([]*wire.Record{snap(1, 10), hardState(1)}))
	for i := uint64(2); i < 6; i++ {
		require.NoError(t, r.Write([]*wire.Record{entry(i, 100)}))
	}
	end := r.off
	require.NoError(t, r.Write([]*wire.Record{entry(6, 100)}))
	d["ring-00"].now[end+60] ^= 1
	r, got := reopen(t, d)
	require.True(t, r.Torn)
	require.Len(t, got.Entries, 4)
	d["ring-00"].now[headSize+200] ^= 1
	_, _, err := Open(d, 4, 16384)
	require.ErrorIs(t, err, ErrCorrupt)
}

func TestFullDiskAndFullRingAreReported(t *testing.T) {
	d := memDir{}
	r, _ := reopen(t, d)
	require.NoError(t, r.Write([]*wire.Record{snap(1, 10), hardState(1)}))
	var err error
	last := uint64(1)
	for err == nil {
		last++
		err = r.Write([]*wire.Record{entry(last, 1000)})
	}
	require.ErrorIs(t, err, ErrFull)
	_, got := reopen(t, d)
	require.Len(t, got.Entries, int(last-2))
	d = memDir{}
	r, _ = reopen(t, d)
	require.NoError(t, r.Write([]*wire.Record{snap(1, 10)}))
	d["ring-00"].full = true
	require.ErrorIs(t, r.Write([]*wire.Record{hardState(2)}), ErrWrite)
}

type moody struct {
	Folder
	left *int
}

type sulky struct {
	File
	left *int
}

func (m moody) Open(name string, size int64) (File, error) {
	f, err := m.Folder.Open(name, size)
	return &sulky{f, m.left}, err
}

func (s *sulky) spent() error {
	if *s.left--; *s.left < 0 {
		return fmt.Errorf("no space left")
	}
	return nil
}

func (s *sulky) WriteAt(b []byte, off int64) (int, error) {
	if err := s.spent(); err != nil {
		return 0, err
	}
	return s.File.WriteAt(b, off)
}

func (s *sulky) Sync() error {
	if err := s.spent(); err != nil {
		return err
	}
	return s.File.Sync()
}

func TestAfterADiskRefusedTheNextWriteOwesWhatWasNotKept(t *testing.T) {
	for seed := int64(0); seed < 300; seed++ {
		r := rand.New(rand.NewSource(seed))
		d := memDir{}
		left := 1 << 30
		ring, _, err := Open(moody{d, &left}, 4, 4096)
		require.NoError(t, err)
		require.NoError(t, ring.Write([]*wire.Record{snap(1, 10), hardState(1)}))
		last, base := uint64(1), uint64(1)
		for step := 0; step < 40; step++ {
			var recs []*wire.Record
			for range 1 + r.Intn(3) {
				last++
				recs = append(recs, entry(last, r.Intn(900)))
			}
			if r.Intn(4) == 0 || last-base > 5 {
				recs, base = append(recs, snap(last, 20)), last
			}
			if r.Intn(2) == 0 {
				left = r.Intn(8)
			}
			err := ring.Write(recs)
			for n := 0; err != nil; n++ {
				if left = r.Intn(6); n > 20 {
					left = 1 << 30
				}
				err = ring.Write(nil)
			}
			left = 1 << 30
			d.powerLoss(r)
			var got *agreement.Recovered
			ring, got, err = Open(moody{d, &left}, 4, 4096)
			require.NoError(t, err, "seed %d step %d", seed, step)
			top := got.Snapshot.LastIndex
			if n := len(got.Entries); n > 0 {
				top = got.Entries[n-1].Index
			}
			require.Equal(t, last, top, "seed %d step %d", seed, step)
		}
	}
}

func TestAMissingEntryIsToldNotPassedOver(t *testing.T) {
	d := memDir{}
	r, _ := reopen(t, d)
	require.NoError(t, r.Write([]*wire.Record{snap(1, 10), hardState(1), entry(2, 10), entry(4, 10)}))
	_, _, err := Open(d, 4, 16384)
	require.ErrorIs(t, err, ErrCorrupt)
	require.ErrorContains(t, merry.Cause(err), "entry 4 stands after 2")
}
