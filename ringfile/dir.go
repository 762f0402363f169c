package ringfile

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// Dir is a locked data folder. Its ID identifies the disk as a voter.
type Dir struct {
	Path   string
	lock   *os.File
	DiskID string
}

// OpenDir opens or makes the folder and gives the disk its ID. A disk with missing segments gets a new ID:
// its records may be lost, and a voter must not vote again without the votes it has forgotten.
func OpenDir(path string) (*Dir, error) {
	if err := makeDirSynced(path); err != nil {
		return nil, merry.Wrap(ErrOpen, merry.WithCause(err))
	}
	d := &Dir{Path: path}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, merry.Wrap(ErrOpen, merry.WithCause(err))
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, merry.Wrap(ErrLocked, merry.WithCause(err), merry.AppendMessage(path))
	}
	d.lock = lock
	name := filepath.Join(path, "disk")
	id, err := os.ReadFile(name)
	if err != nil || len(id) != 16 || segmentMissing(path) {
		if _, ring := os.Stat(filepath.Join(path, "ring-00")); ring == nil && err == nil && len(id) != 16 {
			lock.Close()
			return nil, merry.Wrap(ErrCorrupt, merry.AppendMessage("the file named disk does not contain an ID"))
		}
		if err := os.Remove(filepath.Join(path, foundersFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			lock.Close()
			return nil, merry.Wrap(ErrOpen, merry.WithCause(err))
		}
		var random [8]byte
		rand.Read(random[:])
		id = []byte(hex.EncodeToString(random[:]))
		if err := writeFileSynced(name, id); err != nil {
			lock.Close()
			return nil, merry.Wrap(ErrOpen, merry.WithCause(err))
		}
	}
	d.DiskID = string(id)
	if err := d.syncDir(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// SaveFounders stores the founders' addresses, synced.
func (d *Dir) SaveFounders(addresses []string) error {
	if err := writeFileSynced(filepath.Join(d.Path, foundersFileName), []byte(strings.Join(addresses, " "))); err != nil {
		return merry.Wrap(ErrOpen, merry.WithCause(err))
	}
	return d.syncDir()
}

// Founders returns the stored addresses, none if nothing was stored.
func (d *Dir) Founders() ([]string, error) {
	content, err := os.ReadFile(filepath.Join(d.Path, foundersFileName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, merry.Wrap(ErrOpen, merry.WithCause(err))
	}
	return strings.Fields(string(content)), nil
}

// makeDirSynced makes the missing folders, each durable over a power loss.
func makeDirSynced(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := makeDirSynced(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, 0o750); err != nil && !os.IsExist(err) {
		return err
	}
	return (&Dir{Path: parent}).syncDir()
}

// segmentMissing tells whether the folder has no segments, or a gap in their numbers.
func segmentMissing(path string) bool {
	entries, err := os.ReadDir(path)
	if err != nil {
		return true
	}
	count := 0
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), "ring-") {
			count++
		}
	}
	for i := range count {
		if _, err := os.Stat(filepath.Join(path, segmentName(i))); err != nil {
			return true
		}
	}
	return count == 0
}

func segmentName(i int) string { return fmt.Sprintf("ring-%02d", i) }

// writeFileSynced replaces a file by renaming a synced new one.
func writeFileSynced(name string, content []byte) error {
	f, err := os.OpenFile(name+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Write(content); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// syncDir makes created and renamed files durable.
func (d *Dir) syncDir() error {
	f, err := os.Open(d.Path)
	if err != nil {
		return merry.Wrap(ErrOpen, merry.WithCause(err))
	}
	defer f.Close()
	return f.Sync()
}

// Open opens a file and fills a new one with zeros up to the given size. A file of another size is filled
// as well, unless it has the header of a segment: that is an error.
func (d *Dir) Open(name string, size int64) (File, error) {
	file, err := os.OpenFile(filepath.Join(d.Path, name), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	info, err := file.Stat()
	if err != nil {
		file.Close()
		return nil, err
	}
	if info.Size() != size {
		if info.Size() != 0 {
			var b [8]byte
			if n, _ := file.ReadAt(b[:], 0); n == 8 && string(b[:]) == segmentMagic {
				file.Close()
				return nil, merry.Wrap(ErrCorrupt, merry.AppendMessagef("%s has %d bytes, expected %d", name, info.Size(), size))
			}
		}
		zero := make([]byte, 1<<20)
		for off := int64(0); off < size; off += int64(len(zero)) {
			if _, err := file.WriteAt(zero[:min(int64(len(zero)), size-off)], off); err != nil {
				file.Close()
				return nil, err
			}
		}
		if err := file.Sync(); err != nil {
			file.Close()
			return nil, err
		}
		if err := d.syncDir(); err != nil {
			file.Close()
			return nil, err
		}
	}
	return &dataSyncedFile{file}, nil
}

// Close releases the lock of the folder.
func (d *Dir) Close() { d.lock.Close() }

// dataSyncedFile syncs data only, as preallocated files do not change their size.
type dataSyncedFile struct{ *os.File }

func (f *dataSyncedFile) Sync() error { return unix.Fdatasync(int(f.Fd())) }
