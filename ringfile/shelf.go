package ringfile

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/ansel1/merry/v2"
)

const (
	// SnapshotFileSize is the size of each copy in bytes, header included.
	SnapshotFileSize       = 512 << 10
	snapshotFileMagic      = "SLOESHF1"
	snapshotFileHeaderSize = 24
)

// ErrSnapshotTooLarge is returned for a snapshot that does not fit into SnapshotFileSize.
var ErrSnapshotTooLarge = merry.Sentinel("ringfile: too large for the snapshot file")

// SnapshotFile stores a small snapshot in two files that are written in turn, so that one intact copy
// remains when a write is cut short.
type SnapshotFile struct {
	// Rejected tells for each unreadable copy why it was not used.
	Rejected []string
	files    [2]File
	number   uint64
}

// OpenSnapshotFile opens both copies, and returns the newest intact snapshot, nil if there is none.
func OpenSnapshotFile(dir FileOpener) (*SnapshotFile, []byte, error) {
	s := &SnapshotFile{}
	var newest []byte
	for i := range s.files {
		f, err := dir.Open(fmt.Sprintf("shelf-%d", i), SnapshotFileSize)
		if err != nil {
			s.Close()
			return nil, nil, merry.Wrap(ErrOpen, merry.WithCause(err))
		}
		s.files[i] = f
		number, content, reason := readSnapshotCopy(f)
		if reason != "" {
			s.Rejected = append(s.Rejected, fmt.Sprintf("shelf-%d: %s", i, reason))
		}
		if number > s.number {
			s.number, newest = number, content
		}
	}
	return s, newest, nil
}

// readSnapshotCopy returns why a copy is unreadable; an unused one has the number 0 and no reason.
func readSnapshotCopy(f File) (number uint64, content []byte, reason string) {
	data := make([]byte, SnapshotFileSize)
	if _, err := f.ReadAt(data, 0); err != nil {
		return 0, nil, err.Error()
	}
	number, size := binary.LittleEndian.Uint64(data[8:]), binary.LittleEndian.Uint32(data[16:])
	switch {
	case string(data[:8]) == string(make([]byte, 8)):
		return 0, nil, ""
	case string(data[:8]) != snapshotFileMagic:
		return 0, nil, "not a snapshot file"
	case size > SnapshotFileSize-snapshotFileHeaderSize || number == 0:
		return 0, nil, "invalid header"
	case crc32.Checksum(data[24:24+size], castagnoli)^crc32.Checksum(data[:20], castagnoli) != binary.LittleEndian.Uint32(data[20:]):
		return 0, nil, "torn"
	}
	return number, data[snapshotFileHeaderSize : snapshotFileHeaderSize+size], ""
}

// Save replaces the older copy by a new snapshot, synced.
func (s *SnapshotFile) Save(content []byte) error {
	if len(content) > SnapshotFileSize-snapshotFileHeaderSize {
		return merry.Wrap(ErrSnapshotTooLarge, merry.AppendMessagef("%d bytes", len(content)))
	}
	s.number++
	data := make([]byte, snapshotFileHeaderSize, snapshotFileHeaderSize+len(content))
	copy(data, snapshotFileMagic)
	binary.LittleEndian.PutUint64(data[8:], s.number)
	binary.LittleEndian.PutUint32(data[16:], uint32(len(content)))
	binary.LittleEndian.PutUint32(data[20:], crc32.Checksum(content, castagnoli)^crc32.Checksum(data[:20], castagnoli))
	f := s.files[s.number%2]
	if _, err := f.WriteAt(append(data, content...), 0); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	if err := f.Sync(); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	return nil
}

func (s *SnapshotFile) Close() {
	for _, f := range s.files {
		if f != nil {
			f.Close()
		}
	}
}
