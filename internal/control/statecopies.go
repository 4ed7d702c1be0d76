package control

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"knotrouter/internal/leaderelection"
)

const (
	maxStateCopies   = 8       // retained in a data folder
	stateCopyFolder  = "saved" // in the data folder
	stateCopyPattern = "*.json"
)

// stateCopyFunction returns the function of the state-copy task, which saves a copy of the
// replicated state in this server's data folder at the configured interval.
func (s *Server) stateCopyFunction(c *Client) leaderelection.Function {
	return func(ctx context.Context, _ string, fence int64) error {
		if s.config.SaveEvery <= 0 {
			<-ctx.Done()
			return nil
		}
		for sleep(ctx, s.config.SaveEvery) {
			data, err := c.Snapshot(ctx)
			if err != nil {
				s.log.Warn("reading the state for a copy failed", "err", err)
				continue
			}
			if ctx.Err() != nil {
				return nil
			}
			if err := s.saveStateCopy(data, fence); err != nil {
				return fmt.Errorf("save a copy of the state: %w", err)
			}
			s.metrics.savedCopies.Inc()
		}
		return nil
	}
}

// saveStateCopy writes a copy of the state, named by the time and the fencing token, and removes
// the oldest copies beyond maxStateCopies.
func (s *Server) saveStateCopy(data []byte, fence int64) error {
	dir := filepath.Join(s.config.Data, stateCopyFolder)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	name := filepath.Join(dir, fmt.Sprintf("%020d-%d.json", s.config.Now().UnixMicro(), fence))
	if err := WriteFileAtomic(name, data); err != nil {
		return err
	}
	copies, err := filepath.Glob(filepath.Join(dir, stateCopyPattern))
	if err != nil {
		return err
	}
	slices.Sort(copies)
	for _, old := range copies[:max(len(copies)-maxStateCopies, 0)] {
		if err := os.Remove(old); err != nil {
			return err
		}
	}
	return nil
}

// WriteFileAtomic replaces the named file with one that has the given data and mode 0600. A reader
// finds either the old file or the complete new one, even after a crash of this process: the data is
// written and synced under the name with ".part" appended, and then renamed. The folder is synced
// after the rename, so that a power failure does not bring the old file back. Concurrent calls for
// the same name are not allowed. After an error, the ".part" file may remain, or the new file may be
// in place without being synced to disk.
//
// github.com/google/renameio would be a new dependency for one function, and it differs: it uses
// random temporary names, so that files left by crashes accumulate instead of being overwritten, and
// it keeps the mode of the old file.
func WriteFileAtomic(name string, data []byte) error { return writeFileAtomic(name, data, syncFolder) }

// writeFileAtomic is WriteFileAtomic with the given function to sync the folder.
func writeFileAtomic(name string, data []byte, syncFolder func(dir string) error) error {
	part := name + ".part"
	f, err := os.OpenFile(part, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(part, name); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(name))
}

// syncFolder syncs the directory entries of a folder to disk.
func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
