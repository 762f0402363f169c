package control

import (
	"errors"

	"github.com/go-kit/log/level"

	"sloeturn/agreement"
	"sloeturn/boot"
	"sloeturn/ident"
	"sloeturn/ringfile"
)

// DiskMayRecover reports whether an error of NewNode may pass by itself: another process still holds the
// disk, or the disk can't be opened or written just now. Corrupt records never do.
func DiskMayRecover(err error) bool {
	if errors.Is(err, ringfile.ErrCorrupt) {
		return false
	}
	return errors.Is(err, ringfile.ErrLocked) || errors.Is(err, ringfile.ErrOpen) || errors.Is(err, ringfile.ErrWrite)
}

// openDisk opens the disk, if the process has one, and completes the configuration by what it holds. After
// an error nothing stays open. It returns nil for a new ring.
func (n *Node) openDisk(config *Config, disk DiskConfig) (*agreement.Recovered, error) {
	if disk.Path == "" {
		return nil, nil
	}
	var err error
	if n.dir, err = ringfile.OpenDir(disk.Path); err != nil {
		return nil, err
	}
	recovered, err := n.readDisk(config, disk)
	if err != nil {
		n.closeDisk()
		return nil, err
	}
	return recovered, nil
}

// readDisk reads the ring, the saved copies and the founders from the opened folder.
func (n *Node) readDisk(config *Config, disk DiskConfig) (recovered *agreement.Recovered, err error) {
	if n.ring, recovered, err = ringfile.Open(n.dir, disk.Files, disk.Size); err != nil {
		return nil, err
	}
	if n.ring.Torn {
		level.Warn(n.Log).Log("part", "ring", "msg", "The last record is torn and was dropped.")
	}
	config.Capacity, config.FreeBytes = ringfile.Capacity(disk.Files, disk.Size), n.ring.FreeBytes()
	n.openCopyFile(config)
	config.Voter = ident.Voter(string(config.Member) + "/" + n.dir.DiskID)
	config.Founders, config.FreshFleet, err = recallFounders(n.dir, *config)
	return recovered, err
}

// openCopyFile opens the saved copies of the cells; the process does without them if it can't.
func (n *Node) openCopyFile(config *Config) {
	var err error
	if n.copyFile, config.SavedCopies, err = ringfile.OpenSnapshotFile(n.dir); err != nil {
		n.copyFile = nil
		level.Warn(n.Log).Log("part", "shelf", "msg", "Copies of the cells are not saved.", "why", err)
		return
	}
	config.KeepsCopies = true
	for _, why := range n.copyFile.Rejected {
		level.Warn(n.Log).Log("part", "shelf", "msg", "Skipped a file of saved cell copies.", "why", why)
	}
}

// closeDisk closes what is open of the disk.
func (n *Node) closeDisk() {
	if n.copyFile != nil {
		n.copyFile.Close()
	}
	if n.ring != nil {
		n.ring.Close()
	}
	if n.dir != nil {
		n.dir.Close()
	}
}

// recallFounders keeps the founders on disk at the very first start, so that a restart before the fleet
// is formed goes on with the same ones.
func recallFounders(dir *ringfile.Dir, config Config) (list []ident.Addr, first bool, err error) {
	if config.FreshFleet {
		texts := make([]string, len(config.Founders))
		for i, a := range config.Founders {
			texts[i] = string(a)
		}
		return config.Founders, true, dir.SaveFounders(texts)
	}
	kept, err := dir.Founders()
	if len(kept) == 0 || len(config.Founders) > 0 {
		return config.Founders, false, err
	}
	return boot.Addrs(kept), true, err
}
