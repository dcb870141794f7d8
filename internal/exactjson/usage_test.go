package exactjson

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against messages or stored values that are decoded with names that differ in case: no code but
// this package decodes JSON with encoding/json.
func TestOnlyThisPackageDecodesJSON(t *testing.T) {
	for _, root := range []string{"../../cmd", "../../internal"} {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			if name := nameOfStandardPackage(file); name != "" {
				ast.Inspect(file, func(node ast.Node) bool {
					if call, isSelector := node.(*ast.SelectorExpr); isSelector && isDecodeFunction(call, name) {
						t.Errorf("%s decodes with encoding/json.%s, want exactjson", path, call.Sel.Name)
					}
					return true
				})
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// nameOfStandardPackage returns the name under which a file imports encoding/json; empty if it does not.
func nameOfStandardPackage(file *ast.File) string {
	for _, imported := range file.Imports {
		if imported.Path.Value != `"encoding/json"` {
			continue
		}
		if imported.Name != nil {
			return imported.Name.Name
		}
		return "json"
	}
	return ""
}

// isDecodeFunction reports whether a selector names a function of the package that decodes JSON.
func isDecodeFunction(selector *ast.SelectorExpr, packageName string) bool {
	base, isName := selector.X.(*ast.Ident)
	return isName && base.Name == packageName && (selector.Sel.Name == "Unmarshal" || selector.Sel.Name == "NewDecoder")
}
