package ringfile

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/ansel1/merry/v2"
)

const (
	ShelfSize  = 512 << 10
	shelfMagic = "SLOESHF1"
	shelfHead  = 24
)

var ErrShelf = merry.Sentinel("ringfile: too large for the shelf")

type Shelf struct {
	Passed []string
	files  [2]File
	number uint64
}

func OpenShelf(dir Folder) (*Shelf, []byte, error) {
	s := &Shelf{}
	var newest []byte
	for i := range s.files {
		f, err := dir.Open(fmt.Sprintf("shelf-%d", i), ShelfSize)
		if err != nil {
			s.Close()
			return nil, nil, merry.Wrap(ErrOpen, merry.WithCause(err))
		}
		s.files[i] = f
		number, doc, why := readShelf(f)
		if why != "" {
			s.Passed = append(s.Passed, fmt.Sprintf("shelf-%d: %s", i, why))
		}
		if number > s.number {
			s.number, newest = number, doc
		}
	}
	return s, newest, nil
}

func readShelf(f File) (number uint64, doc []byte, why string) {
	b := make([]byte, ShelfSize)
	if _, err := f.ReadAt(b, 0); err != nil {
		return 0, nil, err.Error()
	}
	number, n := binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint32(b[16:])
	switch {
	case string(b[:8]) == string(make([]byte, 8)):
		return 0, nil, ""
	case string(b[:8]) != shelfMagic:
		return 0, nil, "not a shelf"
	case n > ShelfSize-shelfHead || number == 0:
		return 0, nil, "its head does not read"
	case crc32.Checksum(b[24:24+n], table)^crc32.Checksum(b[:20], table) != binary.LittleEndian.Uint32(b[20:]):
		return 0, nil, "torn"
	}
	return number, b[shelfHead : shelfHead+n], ""
}

func (s *Shelf) Save(doc []byte) error {
	if len(doc) > ShelfSize-shelfHead {
		return merry.Wrap(ErrShelf, merry.AppendMessagef("%d bytes", len(doc)))
	}
	s.number++
	b := make([]byte, shelfHead, shelfHead+len(doc))
	copy(b, shelfMagic)
	binary.LittleEndian.PutUint64(b[8:], s.number)
	binary.LittleEndian.PutUint32(b[16:], uint32(len(doc)))
	binary.LittleEndian.PutUint32(b[20:], crc32.Checksum(doc, table)^crc32.Checksum(b[:20], table))
	f := s.files[s.number%2]
	if _, err := f.WriteAt(append(b, doc...), 0); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	if err := f.Sync(); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	return nil
}

func (s *Shelf) Close() {
	for _, f := range s.files {
		if f != nil {
			f.Close()
		}
	}
}
