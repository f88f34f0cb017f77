package control

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"caperdrum.org/node/disk"
)

// The formation file in testdata/b04f5da was written by the code of commit b04f5da at a first start. The
// present code must read it, whatever its settings say, and write the same bytes.
func TestFormationFileOfTheOldBuild(t *testing.T) {
	old, err := os.ReadFile("testdata/b04f5da/formation")
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"10.0.0.1:7100", "10.0.0.2:7100", "control-3.example:7100"}
	for _, firstStart := range []bool{true, false} {
		fs, path := formationFolder(t)
		if err := os.WriteFile(path, old, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := loadSeeds(fs, firstStart, []string{"10.0.0.9:7100"}); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("first start %v: %q, want %q (%v)", firstStart, got, want, err)
		}
	}
	fs, path := formationFolder(t)
	if _, err := loadSeeds(fs, true, want); err != nil {
		t.Fatal(err)
	}
	if data, err := os.ReadFile(path); err != nil || !bytes.Equal(data, old) {
		t.Errorf("written %q, want %q (%v)", data, old, err)
	}
}

func formationFolder(t *testing.T) (disk.FS, string) {
	dir := t.TempDir()
	fs, err := disk.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	return fs, filepath.Join(dir, "formation")
}
