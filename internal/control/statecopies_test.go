package control

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// TestFolderIsSyncedAfterTheRename checks that the folder is synced after the new file has been renamed,
// and that an error of the sync is returned.
func TestFolderIsSyncedAfterTheRename(t *testing.T) {
	name := filepath.Join(t.TempDir(), "copy")
	errSync := errors.New("input/output error")
	for _, want := range []error{nil, errSync} {
		if err := os.WriteFile(name, []byte("old"), 0o600); err != nil {
			t.Fatal(err)
		}
		synced := ""
		err := writeFileAtomic(name, []byte("new"), func(dir string) error {
			content, _ := os.ReadFile(name)
			synced = dir + " with " + string(content)
			return want
		})
		if !errors.Is(err, want) || synced != filepath.Dir(name)+" with new" {
			t.Errorf("synced %q, returned error %v, want error %v", synced, err, want)
		}
	}
	if err := WriteFileAtomic(name, []byte("newer")); err != nil {
		t.Error(err)
	}
}
