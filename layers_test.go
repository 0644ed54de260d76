package chestnutdyke_test

import (
	"go/build"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const modulePath = "github.com/chestnutdyke/chestnutdyke/"

// layers are ordered from the lowest to the highest. A package may import packages
// of its own layer and of lower ones.
var layers = []string{"state", "coordination", "protocol", "transport"}

// ioPackages do I/O or encoding and are not allowed in the two lowest layers.
var ioPackages = []string{
	"net", "net/http", "encoding/json", "encoding/binary", "os", "syscall",
	"github.com/jackc/pgx/v5", "go.yaml.in/yaml/v3",
}

// Guards against state and coordination code that does I/O or encodes messages,
// and against a layer that depends on a higher one.
func TestImportsFollowLayers(t *testing.T) {
	for level, layer := range layers {
		for _, dir := range packageDirs(t, layer) {
			pkg, err := build.ImportDir(dir, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, imported := range pkg.Imports {
				checkImport(t, level, dir, imported)
			}
		}
	}
}

func checkImport(t *testing.T, level int, dir, imported string) {
	t.Helper()
	if level < 2 {
		for _, p := range ioPackages {
			if imported == p || strings.HasPrefix(imported, p+"/") && strings.Contains(p, ".") {
				t.Errorf("%s imports %s", dir, imported)
			}
		}
	}
	rest, inModule := strings.CutPrefix(imported, modulePath)
	if !inModule {
		return
	}
	layer, _, _ := strings.Cut(rest, "/")
	if i := slices.Index(layers, layer); i < 0 || i > level {
		t.Errorf("%s imports %s, which is in a higher layer or in none", dir, imported)
	}
}

func packageDirs(t *testing.T, root string) []string {
	t.Helper()
	var dirs []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if dir := filepath.Dir(path); strings.HasSuffix(path, ".go") && !slices.Contains(dirs, dir) {
			dirs = append(dirs, dir)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return dirs
}
