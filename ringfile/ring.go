// Package ringfile keeps a log on a ring of preallocated files, with checksums that tell torn from corrupt.
package ringfile

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"sloeturn/agreement"
	"sloeturn/wire"
)

var (
	ErrOpen    = merry.Sentinel("ringfile: cannot open")
	ErrCorrupt = merry.Sentinel("ringfile: a record that was kept is corrupt")
	ErrFull    = merry.Sentinel("ringfile: the ring is full")
	ErrWrite   = merry.Sentinel("ringfile: cannot write")
	ErrHeld    = merry.Sentinel("ringfile: another process holds the folder")
)

const (
	headSize = 64
	recHead  = 25
	turnCost = 2*recHead + 64
	magic    = "SLOERNG1"
	whole    = 0
	begin    = 1
	middle   = 2
	finish   = 3

	staleMost    = 1 << 24
	foundersName = "founders"
)

var table = crc32.MakeTable(crc32.Castagnoli)

type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Close() error
}

type Folder interface {
	Open(name string, size int64) (File, error)
}

type slot struct {
	file  File
	seq   uint64
	first uint64
	dirty bool
}

type Ring struct {
	Size   int64
	slots  []*slot
	at     int
	off    int64
	lsn    uint64
	live   uint64
	synced uint64
	hard   *wire.HardState
	owed   []*wire.Record
	cut    bool
	Torn   bool
}

func Open(dir Folder, count int, size int64) (*Ring, *agreement.Recovered, error) {
	r := &Ring{Size: size, lsn: 1}
	for i := 0; i < count; i++ {
		f, err := dir.Open(ringName(i), size)
		if err != nil {
			return nil, nil, merry.Wrap(ErrOpen, merry.WithCause(err))
		}
		s := &slot{file: f}
		s.readHead()
		r.slots = append(r.slots, s)
	}
	got, err := r.recover()
	if err != nil {
		return nil, nil, err
	}
	return r, got, nil
}

func (s *slot) readHead() {
	var b [headSize]byte
	if _, err := s.file.ReadAt(b[:], 0); err != nil {
		return
	}
	if string(b[:8]) != magic || crc32.Checksum(b[:24], table) != binary.LittleEndian.Uint32(b[24:]) {
		return
	}
	s.seq, s.first = binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:])
}

func (s *slot) writeHead() error {
	var b [headSize]byte
	copy(b[:], magic)
	binary.LittleEndian.PutUint64(b[8:], s.seq)
	binary.LittleEndian.PutUint64(b[16:], s.first)
	binary.LittleEndian.PutUint32(b[24:], crc32.Checksum(b[:24], table))
	s.dirty = true
	_, err := s.file.WriteAt(b[:], 0)
	return err
}

func pad(n int64) int64 { return (n + 7) &^ 7 }

func readAt(b []byte, off int64, lsn uint64) (kind byte, body []byte, next int64, ok bool) {
	if off+recHead > int64(len(b)) {
		return
	}
	n := int64(binary.LittleEndian.Uint32(b[off:]))
	if n == 0 || off+recHead+n > int64(len(b)) {
		return
	}
	if lsn != 0 && binary.LittleEndian.Uint64(b[off+8:]) != lsn {
		return
	}
	if crc32.Checksum(b[off+8:off+recHead+n], table) != binary.LittleEndian.Uint32(b[off+4:]) {
		return
	}
	return b[off+24], b[off+recHead : off+recHead+n], pad(off + recHead + n), true
}

func kept(b []byte, from int64, lost uint64) bool {
	for off := pad(from); off+recHead <= int64(len(b)); off += 8 {
		if binary.LittleEndian.Uint32(b[off:]) == 0 || binary.LittleEndian.Uint64(b[off+8:]) <= lost || binary.LittleEndian.Uint64(b[off+16:]) < lost {
			continue
		}
		if _, _, _, ok := readAt(b, off, 0); ok {
			return true
		}
	}
	return false
}

func (r *Ring) recover() (*agreement.Recovered, error) {
	used := []int{}
	for i, s := range r.slots {
		if s.seq > 0 {
			used = append(used, i)
		}
	}
	if len(used) == 0 {
		for i := range r.slots {
			b := make([]byte, r.Size)
			r.slots[i].file.ReadAt(b, 0)
			if kept(b, headSize, 1) {
				return nil, merry.Wrap(ErrCorrupt, merry.AppendMessagef("no file of the ring has a head, but records stand in file %d", i))
			}
		}
		r.at, r.off, r.live = -1, r.Size, 1
		return nil, nil
	}
	sort.Slice(used, func(i, j int) bool { return r.slots[used[i]].seq < r.slots[used[j]].seq })
	got := &agreement.Recovered{}
	var part []byte
	var partLsn uint64
	lost := false
	started := false
	lsn := r.slots[used[0]].first
	r.live = lsn
	for k, i := range used {
		s := r.slots[i]
		b := make([]byte, r.Size)
		if _, err := s.file.ReadAt(b, 0); err != nil {
			return nil, merry.Wrap(ErrOpen, merry.WithCause(err))
		}
		if lost || s.first != lsn || k > 0 && s.seq != r.slots[used[k-1]].seq+1 {
			if kept(b, headSize, lsn) {
				return nil, merry.Wrap(ErrCorrupt, merry.AppendMessagef("record %d is missing, but later ones stand", lsn))
			}
			if !lost && k == 0 {
				return nil, merry.Wrap(ErrCorrupt, merry.AppendMessage("the oldest file does not start where its head says"))
			}
			lost = true
			if err := r.wipe(s, 0); err != nil {
				return nil, err
			}
			s.seq, s.first = 0, 0
			r.Torn = true
			continue
		}
		off := int64(headSize)
		for {
			kind, body, next, ok := readAt(b, off, lsn)
			if !ok {
				break
			}
			switch kind {
			case whole, begin:
				part, partLsn = append([]byte(nil), body...), lsn
			default:
				part = append(part, body...)
			}
			if kind == whole || kind == finish {
				rec := &wire.Record{}
				if err := proto.Unmarshal(part, rec); err != nil {
					if started {
						return nil, merry.Wrap(ErrCorrupt, merry.WithCause(err), merry.AppendMessagef("record %d", lsn))
					}
				} else if err := r.replay(got, rec, partLsn, &started); err != nil {
					return nil, merry.Wrap(ErrCorrupt, merry.WithCause(err), merry.AppendMessagef("record %d", lsn))
				}
			}
			off = next
			lsn++
		}
		r.at, r.off = i, off
		if kept(b, off, lsn) {
			return nil, merry.Wrap(ErrCorrupt, merry.AppendMessagef("record %d in file %d does not read, but later ones stand", lsn, i))
		}
		if off+recHead <= r.Size && binary.LittleEndian.Uint64(b[off+8:]) >= lsn {
			r.Torn = true
			if k == len(used)-1 || r.slots[used[k+1]].first != lsn {
				if err := r.wipe(s, off); err != nil {
					return nil, err
				}
			}
		}
	}
	r.synced = lsn - 1
	r.lsn = lsn
	if err := r.scrub(); err != nil {
		return nil, err
	}
	if got.Snapshot == nil && got.Term == 0 {
		return nil, nil
	}
	return got, nil
}

func stale(b []byte, from int64, lsn uint64) bool {
	for off := pad(from); off+recHead <= int64(len(b)); off += 8 {
		if n := binary.LittleEndian.Uint64(b[off+8:]); n < lsn || n-lsn > staleMost {
			continue
		}
		if _, _, _, ok := readAt(b, off, 0); ok {
			return true
		}
	}
	return false
}

// scrub wipes what a write that was cut short left beyond the end, lest later records join on to it.
func (r *Ring) scrub() error {
	if r.at < 0 {
		return nil
	}
	b := make([]byte, r.Size)
	old := func(i int, from int64) (bool, error) {
		if _, err := r.slots[i].file.ReadAt(b, 0); err != nil {
			return false, merry.Wrap(ErrOpen, merry.WithCause(err))
		}
		return stale(b, from, r.lsn), nil
	}
	var free []int
	last := -1
	live := r.liveSeq()
	for k := 1; k < len(r.slots); k++ {
		i := (r.at + k) % len(r.slots)
		if t := r.slots[i]; t.seq >= live && t.seq > 0 {
			break
		}
		free = append(free, i)
		is, err := old(i, headSize)
		if err != nil {
			return err
		}
		if is {
			last = len(free) - 1
		}
	}
	for _, i := range free[:last+1] {
		if err := r.wipe(r.slots[i], 0); err != nil {
			return err
		}
		r.slots[i].seq, r.slots[i].first = 0, 0
	}
	is, err := old(r.at, r.off)
	if err != nil || !is {
		return err
	}
	r.Torn = true
	return r.wipe(r.slots[r.at], r.off)
}

func (r *Ring) wipe(s *slot, off int64) error {
	if _, err := s.file.WriteAt(make([]byte, r.Size-off), off); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	if err := s.file.Sync(); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	return nil
}

func (r *Ring) replay(got *agreement.Recovered, rec *wire.Record, lsn uint64, started *bool) error {
	*started = true
	if v := rec.GetHardState(); v != nil {
		r.hard = v
	}
	if rec.GetSnapshot() != nil {
		r.live = lsn
	}
	return got.Replay(rec)
}

type mark struct {
	at        int
	off       int64
	lsn, live uint64
	heads     [][2]uint64
}

func (r *Ring) mark() mark {
	m := mark{at: r.at, off: r.off, lsn: r.lsn, live: r.live}
	for _, s := range r.slots {
		m.heads = append(m.heads, [2]uint64{s.seq, s.first})
	}
	return m
}

func (r *Ring) back(m mark) {
	r.at, r.off, r.lsn, r.live = m.at, m.off, m.lsn, m.live
	for i, s := range r.slots {
		s.seq, s.first = m.heads[i][0], m.heads[i][1]
	}
}

// Write puts the records on disk, synced. After an error the ring stands where it was last synced,
// and the next Write, of no records even, writes first what this one owes.
func (r *Ring) Write(recs []*wire.Record) error {
	recs = append(r.owed, recs...)
	r.owed = nil
	if r.cut {
		if err := r.scrub(); err != nil {
			r.owed = recs
			return err
		}
		r.cut = false
	}
	m := r.mark()
	kept, err := r.write(recs, &m)
	if err != nil {
		r.back(m)
		r.cut = true
		r.owed = recs[kept:]
	}
	return err
}

func (r *Ring) write(recs []*wire.Record, m *mark) (kept int, err error) {
	for i, rec := range recs {
		if v := rec.GetHardState(); v != nil {
			r.hard = v
		}
		from := r.lsn
		if err := r.put(rec); err != nil {
			return kept, err
		}
		if rec.GetSnapshot() != nil {
			if r.hard != nil {
				if err := r.put(&wire.Record{Body: &wire.Record_HardState{HardState: r.hard}}); err != nil {
					return kept, err
				}
			}
			if err := r.sync(); err != nil {
				return kept, err
			}
			r.live = from
			*m, kept = r.mark(), i+1
		}
	}
	return kept, r.sync()
}

func (r *Ring) put(rec *wire.Record) error {
	b, err := proto.Marshal(rec)
	if err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	kind := byte(whole)
	for {
		room := r.Size - r.off - recHead
		if room < 64 {
			if err := r.turn(); err != nil {
				return err
			}
			continue
		}
		n := int64(len(b))
		if n <= room {
			if kind != whole {
				kind = finish
			}
			return r.piece(kind, b)
		}
		if kind == whole {
			kind = begin
		} else {
			kind = middle
		}
		if err := r.piece(kind, b[:room]); err != nil {
			return err
		}
		b = b[room:]
	}
}

func (r *Ring) piece(kind byte, body []byte) error {
	b := make([]byte, pad(recHead+int64(len(body))))
	binary.LittleEndian.PutUint32(b, uint32(len(body)))
	binary.LittleEndian.PutUint64(b[8:], r.lsn)
	binary.LittleEndian.PutUint64(b[16:], r.synced)
	b[24] = kind
	copy(b[recHead:], body)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:recHead+len(body)], table))
	if r.off+int64(len(b)) > r.Size {
		b = b[:r.Size-r.off]
	}
	s := r.slots[r.at]
	if _, err := s.file.WriteAt(b, r.off); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	s.dirty = true
	r.off += int64(len(b))
	r.lsn++
	return nil
}

func (r *Ring) turn() error {
	n := (r.at + 1) % len(r.slots)
	t := r.slots[n]
	if t.seq > 0 {
		after := r.slots[(n+1)%len(r.slots)]
		if len(r.slots) < 2 || after.first > r.live || after.seq < t.seq {
			return merry.Wrap(ErrFull)
		}
	}
	seq := uint64(1)
	if r.at >= 0 {
		seq = r.slots[r.at].seq + 1
	}
	t.seq, t.first = seq, r.lsn
	if err := t.writeHead(); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	if err := t.file.Sync(); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	r.at, r.off = n, headSize
	return nil
}

func (r *Ring) sync() error {
	for _, s := range r.slots {
		if !s.dirty {
			continue
		}
		if err := s.file.Sync(); err != nil {
			return merry.Wrap(ErrWrite, merry.WithCause(err))
		}
		s.dirty = false
	}
	r.synced = r.lsn - 1
	return nil
}

func (r *Ring) Used() float64 {
	n := 0
	for _, s := range r.slots {
		if s.seq > 0 && s.seq >= r.liveSeq() {
			n++
		}
	}
	return float64(n) / float64(len(r.slots))
}

// Room gives the bytes that may still be written, at least.
func (r *Ring) Room() int64 {
	room, n := int64(0), len(r.slots)
	if r.at >= 0 {
		room = max(0, r.Size-r.off-turnCost)
	}
	live := r.liveSeq()
	for k := 1; k <= n; k++ {
		i := (r.at + k + n) % n
		if s := r.slots[i]; i == r.at || live > 0 && s.seq == live {
			break
		}
		room += r.Size - headSize - turnCost
	}
	return room
}

// Capacity gives the bytes that a ring holds between the start of its live snapshot and its end, at least.
func Capacity(files int, size int64) int64 { return int64(files-1) * (size - headSize - turnCost) }

func (r *Ring) liveSeq() uint64 {
	out := uint64(0)
	for _, s := range r.slots {
		if s.seq > 0 && s.first <= r.live && s.seq > out {
			out = s.seq
		}
	}
	return out
}

func (r *Ring) Close() {
	for _, s := range r.slots {
		s.file.Close()
	}
}

type Dir struct {
	Path string
	lock *os.File
	ID   string
}

// OpenDir opens or makes the folder, and gives the disk its id. An id is given up for a new one
// where files of the ring are gone: its records may be gone with them, and nobody may vote for whom it forgot.
func OpenDir(path string) (*Dir, error) {
	if err := makeDir(path); err != nil {
		return nil, merry.Wrap(ErrOpen, merry.WithCause(err))
	}
	d := &Dir{Path: path}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, merry.Wrap(ErrOpen, merry.WithCause(err))
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, merry.Wrap(ErrHeld, merry.WithCause(err))
	}
	d.lock = lock
	name := filepath.Join(path, "disk")
	b, err := os.ReadFile(name)
	if err != nil || len(b) != 16 || ringGone(path) {
		if _, ring := os.Stat(filepath.Join(path, "ring-00")); ring == nil && err == nil && len(b) != 16 {
			lock.Close()
			return nil, merry.Wrap(ErrCorrupt, merry.AppendMessage("the file named disk does not hold an id"))
		}
		if err := os.Remove(filepath.Join(path, foundersName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			lock.Close()
			return nil, merry.Wrap(ErrOpen, merry.WithCause(err))
		}
		var id [8]byte
		rand.Read(id[:])
		b = []byte(hex.EncodeToString(id[:]))
		if err := writeSynced(name, b); err != nil {
			lock.Close()
			return nil, merry.Wrap(ErrOpen, merry.WithCause(err))
		}
	}
	d.ID = string(b)
	return d, d.syncDir()
}

// KeepFounders keeps the founders' addresses, synced.
func (d *Dir) KeepFounders(list []string) error {
	if err := writeSynced(filepath.Join(d.Path, foundersName), []byte(strings.Join(list, " "))); err != nil {
		return merry.Wrap(ErrOpen, merry.WithCause(err))
	}
	return d.syncDir()
}

// Founders gives what was kept, nothing where nothing was.
func (d *Dir) Founders() ([]string, error) {
	b, err := os.ReadFile(filepath.Join(d.Path, foundersName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, merry.Wrap(ErrOpen, merry.WithCause(err))
	}
	return strings.Fields(string(b)), nil
}

// makeDir makes the folders that are missing, each kept over a loss of power.
func makeDir(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	up := filepath.Dir(path)
	if up != path {
		if err := makeDir(up); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, 0o750); err != nil && !os.IsExist(err) {
		return err
	}
	return (&Dir{Path: up}).syncDir()
}

func ringGone(path string) bool {
	list, err := os.ReadDir(path)
	if err != nil {
		return true
	}
	n := 0
	for _, f := range list {
		if strings.HasPrefix(f.Name(), "ring-") {
			n++
		}
	}
	for i := range n {
		if _, err := os.Stat(filepath.Join(path, ringName(i))); err != nil {
			return true
		}
	}
	return n == 0
}

func ringName(i int) string { return fmt.Sprintf("ring-%02d", i) }

func writeSynced(name string, b []byte) error {
	f, err := os.OpenFile(name+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Write(b); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

func (d *Dir) syncDir() error {
	f, err := os.Open(d.Path)
	if err != nil {
		return merry.Wrap(ErrOpen, merry.WithCause(err))
	}
	defer f.Close()
	return f.Sync()
}

func (d *Dir) Open(name string, size int64) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.Path, name), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	st, err := f.Stat()
	if err != nil {
		f.Close()
		return nil, err
	}
	if st.Size() != size {
		if st.Size() != 0 {
			var b [8]byte
			if n, _ := f.ReadAt(b[:], 0); n == 8 && string(b[:]) == magic {
				f.Close()
				return nil, fmt.Errorf("%s holds %d bytes, expected %d", name, st.Size(), size)
			}
		}
		zero := make([]byte, 1<<20)
		for off := int64(0); off < size; off += int64(len(zero)) {
			if _, err := f.WriteAt(zero[:min(int64(len(zero)), size-off)], off); err != nil {
				f.Close()
				return nil, err
			}
		}
		if err := f.Sync(); err != nil {
			f.Close()
			return nil, err
		}
		if err := d.syncDir(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return &fast{f}, nil
}

func (d *Dir) Close() { d.lock.Close() }

type fast struct{ *os.File }

func (f *fast) Sync() error { return unix.Fdatasync(int(f.Fd())) }
