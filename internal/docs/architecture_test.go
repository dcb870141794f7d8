package docs

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"
)

// repositoryRoot is the path of the repository's root, relative to this package.
const repositoryRoot = "../.."

// codeReference matches a reference to a function in docs/architecture.md: file, line and name.
var codeReference = regexp.MustCompile("`([a-z_/]+\\.go):([0-9]+)` `([A-Za-z]+)`")

// TestArchitecturePageReferencesAreCurrent fails if a function that the page references has moved.
// The failure gives its current line.
func TestArchitecturePageReferencesAreCurrent(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	references := codeReference.FindAllStringSubmatch(string(page), -1)
	if len(references) < 30 {
		t.Errorf("docs/architecture.md has only %d references to functions, want at least 30", len(references))
	}
	for _, reference := range references {
		file, line, name := reference[1], reference[2], reference[3]
		t.Run(file+"/"+name, func(t *testing.T) {
			if found := lineOfFunction(t, file, name); strconv.Itoa(found) != line {
				t.Errorf("docs/architecture.md refers to %s:%s, but the function is at line %d (0: not found)", file, line, found)
			}
		})
	}
}

// lineOfFunction returns the line on which a file declares a function or method, or 0.
func lineOfFunction(t *testing.T, file, name string) int {
	t.Helper()
	source, err := os.Open(filepath.Join(repositoryRoot, file))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = source.Close() }) // the error does not matter: the file was only read
	declaration := regexp.MustCompile(`^func (\([^)]*\) )?` + name + `\(`)
	lines := bufio.NewScanner(source)
	for number := 1; lines.Scan(); number++ {
		if declaration.MatchString(lines.Text()) {
			return number
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return 0
}
