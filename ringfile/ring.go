// Package ringfile stores the replicated log in a ring of preallocated segment files. Checksums and log
// sequence numbers (LSN) tell a torn write, which was never acknowledged, from the corruption of a synced
// record. The package also stores small snapshots in pairs of files.
package ringfile

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"sort"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"sloeturn/agreement"
	"sloeturn/wire"
)

var (
	// ErrOpen is returned if a file or folder cannot be opened, created or read.
	ErrOpen = merry.Sentinel("ringfile: cannot open")
	// ErrCorrupt is returned if a synced record is damaged or missing. A torn write is no error.
	ErrCorrupt = merry.Sentinel("ringfile: a record that was kept is corrupt")
	// ErrFull is returned if the next segment holds records since the newest snapshot.
	ErrFull = merry.Sentinel("ringfile: the ring is full")
	// ErrWrite is returned if a write or sync fails.
	ErrWrite = merry.Sentinel("ringfile: cannot write")
	// ErrLocked is returned if another process uses the data folder.
	ErrLocked = merry.Sentinel("ringfile: another process has locked the folder")
)

const (
	// Sizes in bytes.
	segmentHeaderSize  = 64
	fragmentHeaderSize = 25
	// segmentSwitchCost bounds the bytes that are lost when a record goes on in the next segment.
	segmentSwitchCost = 2*fragmentHeaderSize + 64
	segmentMagic      = "SLOERNG1"

	// Kinds of a fragment: a whole record, or a part of a record that does not fit in one piece.
	fragmentFull   = 0
	fragmentFirst  = 1
	fragmentMiddle = 2
	fragmentLast   = 3

	// maxStaleDistance is how many LSNs beyond the end a fragment may have to count as left behind by a
	// write that was cut short.
	maxStaleDistance = 1 << 24
	foundersFileName = "founders"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is a preallocated file.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Close() error
}

// FileOpener opens files by name and makes missing ones in the given size.
type FileOpener interface {
	Open(name string, size int64) (File, error)
}

// segment is one file of the ring. Its header holds its sequence number, 0 while unused, and the LSN of its
// first fragment.
type segment struct {
	file     File
	sequence uint64
	firstLSN uint64
	dirty    bool
}

// Ring is a log of records. A record consists of one or more fragments, each with an LSN. New segments
// replace those before the newest snapshot.
type Ring struct {
	// SegmentSize is the size of each segment in bytes.
	SegmentSize int64
	segments    []*segment
	// current is the index of the segment that is written, -1 in a new ring, and offset the end of the log
	// in it.
	current int
	offset  int64
	nextLSN uint64
	// snapshotLSN is the LSN of the newest synced snapshot; everything before it may be overwritten.
	snapshotLSN uint64
	syncedLSN   uint64
	hardState   *wire.HardState
	// pending are the records of a failed write, which the next one writes first.
	pending []*wire.Record
	// needsScrub is set after a failed write, whose remains must be erased.
	needsScrub bool
	// Torn is set if a write that was cut short was found.
	Torn bool
}

// Open opens a ring of count segments and recovers what it contains; nil for a new one.
func Open(dir FileOpener, count int, size int64) (*Ring, *agreement.Recovered, error) {
	r := &Ring{SegmentSize: size, nextLSN: 1}
	for i := 0; i < count; i++ {
		file, err := dir.Open(segmentName(i), size)
		if err != nil {
			r.Close()
			return nil, nil, merry.Wrap(ErrOpen, merry.WithCause(err))
		}
		segment := &segment{file: file}
		segment.readHeader()
		r.segments = append(r.segments, segment)
	}
	recovered, err := r.recover()
	if err != nil {
		r.Close()
		return nil, nil, err
	}
	return r, recovered, nil
}

func (s *segment) readHeader() {
	var b [segmentHeaderSize]byte
	if _, err := s.file.ReadAt(b[:], 0); err != nil {
		return
	}
	if string(b[:8]) != segmentMagic || crc32.Checksum(b[:24], castagnoli) != binary.LittleEndian.Uint32(b[24:]) {
		return
	}
	s.sequence, s.firstLSN = binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:])
}

func (s *segment) writeHeader() error {
	var b [segmentHeaderSize]byte
	copy(b[:], segmentMagic)
	binary.LittleEndian.PutUint64(b[8:], s.sequence)
	binary.LittleEndian.PutUint64(b[16:], s.firstLSN)
	binary.LittleEndian.PutUint32(b[24:], crc32.Checksum(b[:24], castagnoli))
	s.dirty = true
	_, err := s.file.WriteAt(b[:], 0)
	return err
}

// alignUp rounds up to the alignment of fragments.
func alignUp(offset int64) int64 { return (offset + 7) &^ 7 }

// readFragment reads the fragment at an offset; ok is false if it is not intact or has another LSN. An LSN
// of 0 matches any.
func readFragment(b []byte, offset int64, lsn uint64) (kind byte, body []byte, next int64, ok bool) {
	if offset+fragmentHeaderSize > int64(len(b)) {
		return
	}
	size := int64(binary.LittleEndian.Uint32(b[offset:]))
	if size == 0 || offset+fragmentHeaderSize+size > int64(len(b)) {
		return
	}
	if lsn != 0 && binary.LittleEndian.Uint64(b[offset+8:]) != lsn {
		return
	}
	if crc32.Checksum(b[offset+8:offset+fragmentHeaderSize+size], castagnoli) != binary.LittleEndian.Uint32(b[offset+4:]) {
		return
	}
	return b[offset+24], b[offset+fragmentHeaderSize : offset+fragmentHeaderSize+size], alignUp(offset + fragmentHeaderSize + size), true
}

// holdsSyncedFragment tells whether an intact fragment after an offset proves that the lost LSN had been
// synced: each fragment contains the LSN up to which the log was synced when it was written.
func holdsSyncedFragment(b []byte, from int64, lost uint64) bool {
	for offset := alignUp(from); offset+fragmentHeaderSize <= int64(len(b)); offset += 8 {
		if binary.LittleEndian.Uint32(b[offset:]) == 0 || binary.LittleEndian.Uint64(b[offset+8:]) <= lost || binary.LittleEndian.Uint64(b[offset+16:]) < lost {
			continue
		}
		if _, _, _, ok := readFragment(b, offset, 0); ok {
			return true
		}
	}
	return false
}

// recover reads the segments in order and ends the log at the first fragment that is not intact. It fails
// if a synced one is missing, and erases the remains of unsynced writes.
func (r *Ring) recover() (*agreement.Recovered, error) {
	used := []int{}
	for i, segment := range r.segments {
		if segment.sequence > 0 {
			used = append(used, i)
		}
	}
	if len(used) == 0 {
		for i := range r.segments {
			b := make([]byte, r.SegmentSize)
			r.segments[i].file.ReadAt(b, 0)
			if holdsSyncedFragment(b, segmentHeaderSize, 1) {
				return nil, merry.Wrap(ErrCorrupt, merry.AppendMessagef("no segment has a header, but segment %d contains records", i))
			}
		}
		r.current, r.offset, r.snapshotLSN = -1, r.SegmentSize, 1
		return nil, nil
	}
	sort.Slice(used, func(i, j int) bool { return r.segments[used[i]].sequence < r.segments[used[j]].sequence })
	recovered := &agreement.Recovered{}
	var partial []byte
	var partialLSN uint64
	torn := false
	started := false
	lsn := r.segments[used[0]].firstLSN
	r.snapshotLSN = lsn
	for order, i := range used {
		segment := r.segments[i]
		content := make([]byte, r.SegmentSize)
		if _, err := segment.file.ReadAt(content, 0); err != nil {
			return nil, merry.Wrap(ErrOpen, merry.WithCause(err))
		}
		if torn || segment.firstLSN != lsn || order > 0 && segment.sequence != r.segments[used[order-1]].sequence+1 {
			if holdsSyncedFragment(content, segmentHeaderSize, lsn) {
				return nil, merry.Wrap(ErrCorrupt, merry.AppendMessagef("record %d is missing, but later ones stand", lsn))
			}
			if !torn && order == 0 {
				return nil, merry.Wrap(ErrCorrupt, merry.AppendMessage("the oldest segment does not start with the record that its header names"))
			}
			torn = true
			if err := r.zeroFrom(segment, 0); err != nil {
				return nil, err
			}
			segment.sequence, segment.firstLSN = 0, 0
			r.Torn = true
			continue
		}
		offset := int64(segmentHeaderSize)
		for {
			kind, body, next, ok := readFragment(content, offset, lsn)
			if !ok {
				break
			}
			switch kind {
			case fragmentFull, fragmentFirst:
				partial, partialLSN = append([]byte(nil), body...), lsn
			default:
				partial = append(partial, body...)
			}
			if kind == fragmentFull || kind == fragmentLast {
				// The first segment may begin with the end of a record whose start was overwritten.
				record := &wire.Record{}
				if err := proto.Unmarshal(partial, record); err != nil {
					if started {
						return nil, merry.Wrap(ErrCorrupt, merry.WithCause(err), merry.AppendMessagef("record %d", lsn))
					}
				} else if err := r.replay(recovered, record, partialLSN, &started); err != nil {
					return nil, merry.Wrap(ErrCorrupt, merry.WithCause(err), merry.AppendMessagef("record %d", lsn))
				}
			}
			offset = next
			lsn++
		}
		r.current, r.offset = i, offset
		if holdsSyncedFragment(content, offset, lsn) {
			return nil, merry.Wrap(ErrCorrupt, merry.AppendMessagef("record %d in file %d does not read, but later ones stand", lsn, i))
		}
		if offset+fragmentHeaderSize <= r.SegmentSize && binary.LittleEndian.Uint64(content[offset+8:]) >= lsn {
			r.Torn = true
			if order == len(used)-1 || r.segments[used[order+1]].firstLSN != lsn {
				if err := r.zeroFrom(segment, offset); err != nil {
					return nil, err
				}
			}
		}
	}
	r.syncedLSN = lsn - 1
	r.nextLSN = lsn
	if err := r.scrub(); err != nil {
		return nil, err
	}
	if recovered.Snapshot == nil && recovered.Term == 0 {
		return nil, nil
	}
	return recovered, nil
}

// holdsStaleFragment tells whether an intact fragment after an offset has an LSN that is yet to be written.
func holdsStaleFragment(b []byte, from int64, lsn uint64) bool {
	for offset := alignUp(from); offset+fragmentHeaderSize <= int64(len(b)); offset += 8 {
		if found := binary.LittleEndian.Uint64(b[offset+8:]); found < lsn || found-lsn > maxStaleDistance {
			continue
		}
		if _, _, _, ok := readFragment(b, offset, 0); ok {
			return true
		}
	}
	return false
}

// scrub erases what a write that was cut short left beyond the end, so that later records do not join on
// to it.
func (r *Ring) scrub() error {
	if r.current < 0 {
		return nil
	}
	content := make([]byte, r.SegmentSize)
	isStale := func(i int, from int64) (bool, error) {
		if _, err := r.segments[i].file.ReadAt(content, 0); err != nil {
			return false, merry.Wrap(ErrOpen, merry.WithCause(err))
		}
		return holdsStaleFragment(content, from, r.nextLSN), nil
	}
	var free []int
	last := -1
	liveSequence := r.liveSequence()
	for k := 1; k < len(r.segments); k++ {
		i := (r.current + k) % len(r.segments)
		if segment := r.segments[i]; segment.sequence >= liveSequence && segment.sequence > 0 {
			break
		}
		free = append(free, i)
		stale, err := isStale(i, segmentHeaderSize)
		if err != nil {
			return err
		}
		if stale {
			last = len(free) - 1
		}
	}
	for _, i := range free[:last+1] {
		if err := r.zeroFrom(r.segments[i], 0); err != nil {
			return err
		}
		r.segments[i].sequence, r.segments[i].firstLSN = 0, 0
	}
	stale, err := isStale(r.current, r.offset)
	if err != nil || !stale {
		return err
	}
	r.Torn = true
	return r.zeroFrom(r.segments[r.current], r.offset)
}

// zeroFrom erases a segment from an offset on, synced.
func (r *Ring) zeroFrom(s *segment, offset int64) error {
	if _, err := s.file.WriteAt(make([]byte, r.SegmentSize-offset), offset); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	if err := s.file.Sync(); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	return nil
}

// replay adds a record to what was recovered, and notes the newest hard state and snapshot.
func (r *Ring) replay(recovered *agreement.Recovered, record *wire.Record, lsn uint64, started *bool) error {
	*started = true
	if hardState := record.GetHardState(); hardState != nil {
		r.hardState = hardState
	}
	if record.GetSnapshot() != nil {
		r.snapshotLSN = lsn
	}
	return recovered.Replay(record)
}

// position is the end of the log, to return to after a failed write.
type position struct {
	segment              int
	offset               int64
	nextLSN, snapshotLSN uint64
	headers              [][2]uint64
}

func (r *Ring) position() position {
	end := position{segment: r.current, offset: r.offset, nextLSN: r.nextLSN, snapshotLSN: r.snapshotLSN}
	for _, s := range r.segments {
		end.headers = append(end.headers, [2]uint64{s.sequence, s.firstLSN})
	}
	return end
}

// rewind moves the end of the log back to a position.
func (r *Ring) rewind(end position) {
	r.current, r.offset, r.nextLSN, r.snapshotLSN = end.segment, end.offset, end.nextLSN, end.snapshotLSN
	for i, s := range r.segments {
		s.sequence, s.firstLSN = end.headers[i][0], end.headers[i][1]
	}
}

// Write appends the records and syncs them. After an error the end of the log is where it was last synced,
// and the next Write, even of no records, first writes the rest of this one.
func (r *Ring) Write(records []*wire.Record) error {
	records = append(r.pending, records...)
	r.pending = nil
	if r.needsScrub {
		if err := r.scrub(); err != nil {
			r.pending = records
			return err
		}
		r.needsScrub = false
	}
	synced := r.position()
	count, err := r.writeRecords(records, &synced)
	if err != nil {
		r.rewind(synced)
		r.needsScrub = true
		r.pending = records[count:]
	}
	return err
}

// writeRecords returns how many records are synced after an error, and updates the position to their end.
// A snapshot is synced at once, followed by a copy of the hard state, so that segments before it may be
// reused.
func (r *Ring) writeRecords(records []*wire.Record, synced *position) (count int, err error) {
	for i, record := range records {
		if hardState := record.GetHardState(); hardState != nil {
			r.hardState = hardState
		}
		first := r.nextLSN
		if err := r.appendRecord(record); err != nil {
			return count, err
		}
		if record.GetSnapshot() != nil {
			if r.hardState != nil {
				if err := r.appendRecord(&wire.Record{Body: &wire.Record_HardState{HardState: r.hardState}}); err != nil {
					return count, err
				}
			}
			if err := r.sync(); err != nil {
				return count, err
			}
			r.snapshotLSN = first
			*synced, count = r.position(), i+1
		}
	}
	return count, r.sync()
}

// appendRecord writes a record in as many fragments as it needs, without syncing it.
func (r *Ring) appendRecord(record *wire.Record) error {
	rest, err := proto.Marshal(record)
	if err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	kind := byte(fragmentFull)
	for {
		room := r.SegmentSize - r.offset - fragmentHeaderSize
		if room < 64 {
			if err := r.nextSegment(); err != nil {
				return err
			}
			continue
		}
		size := int64(len(rest))
		if size <= room {
			if kind != fragmentFull {
				kind = fragmentLast
			}
			return r.writeFragment(kind, rest)
		}
		if kind == fragmentFull {
			kind = fragmentFirst
		} else {
			kind = fragmentMiddle
		}
		if err := r.writeFragment(kind, rest[:room]); err != nil {
			return err
		}
		rest = rest[room:]
	}
}

func (r *Ring) writeFragment(kind byte, body []byte) error {
	fragment := make([]byte, alignUp(fragmentHeaderSize+int64(len(body))))
	binary.LittleEndian.PutUint32(fragment, uint32(len(body)))
	binary.LittleEndian.PutUint64(fragment[8:], r.nextLSN)
	binary.LittleEndian.PutUint64(fragment[16:], r.syncedLSN)
	fragment[24] = kind
	copy(fragment[fragmentHeaderSize:], body)
	binary.LittleEndian.PutUint32(fragment[4:], crc32.Checksum(fragment[8:fragmentHeaderSize+len(body)], castagnoli))
	if r.offset+int64(len(fragment)) > r.SegmentSize {
		fragment = fragment[:r.SegmentSize-r.offset]
	}
	segment := r.segments[r.current]
	if _, err := segment.file.WriteAt(fragment, r.offset); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	segment.dirty = true
	r.offset += int64(len(fragment))
	r.nextLSN++
	return nil
}

// nextSegment starts the next segment of the ring. It returns ErrFull if that one holds records since the
// newest snapshot.
func (r *Ring) nextSegment() error {
	next := (r.current + 1) % len(r.segments)
	segment := r.segments[next]
	if segment.sequence > 0 {
		after := r.segments[(next+1)%len(r.segments)]
		if len(r.segments) < 2 || after.firstLSN > r.snapshotLSN || after.sequence < segment.sequence {
			return merry.Wrap(ErrFull)
		}
	}
	sequence := uint64(1)
	if r.current >= 0 {
		sequence = r.segments[r.current].sequence + 1
	}
	segment.sequence, segment.firstLSN = sequence, r.nextLSN
	if err := segment.writeHeader(); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	if err := segment.file.Sync(); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	r.current, r.offset = next, segmentHeaderSize
	return nil
}

// sync syncs the segments that were written since the last sync.
func (r *Ring) sync() error {
	for _, segment := range r.segments {
		if !segment.dirty {
			continue
		}
		if err := segment.file.Sync(); err != nil {
			return merry.Wrap(ErrWrite, merry.WithCause(err))
		}
		segment.dirty = false
	}
	r.syncedLSN = r.nextLSN - 1
	return nil
}

// UsedRatio returns the share of the segments that are in use.
func (r *Ring) UsedRatio() float64 {
	used := 0
	for _, segment := range r.segments {
		if segment.sequence > 0 && segment.sequence >= r.liveSequence() {
			used++
		}
	}
	return float64(used) / float64(len(r.segments))
}

// FreeBytes returns how many bytes may still be written, at least.
func (r *Ring) FreeBytes() int64 {
	free, count := int64(0), len(r.segments)
	if r.current >= 0 {
		free = max(0, r.SegmentSize-r.offset-segmentSwitchCost)
	}
	liveSequence := r.liveSequence()
	for k := 1; k <= count; k++ {
		i := (r.current + k + count) % count
		if segment := r.segments[i]; i == r.current || liveSequence > 0 && segment.sequence == liveSequence {
			break
		}
		free += r.SegmentSize - segmentHeaderSize - segmentSwitchCost
	}
	return free
}

// Capacity returns how many bytes a ring holds between the start of its newest snapshot and its end, at
// least.
func Capacity(files int, size int64) int64 {
	return int64(files-1) * (size - segmentHeaderSize - segmentSwitchCost)
}

// liveSequence returns the sequence number of the segment in which the newest snapshot starts.
func (r *Ring) liveSequence() uint64 {
	newest := uint64(0)
	for _, segment := range r.segments {
		if segment.sequence > 0 && segment.firstLSN <= r.snapshotLSN && segment.sequence > newest {
			newest = segment.sequence
		}
	}
	return newest
}

func (r *Ring) Close() {
	for _, s := range r.segments {
		s.file.Close()
	}
}
