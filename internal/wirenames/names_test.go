// Package wirenames contains only tests. They check that names which other programs, operators and other
// versions of this program depend on do not change: on the wire, in stored values, in settings, in texts
// for users and on the command line.
package wirenames

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/peer"
	"github.com/pebbletrail/pebbletrail/internal/quota"
	"github.com/pebbletrail/pebbletrail/internal/record"
	"github.com/pebbletrail/pebbletrail/internal/rollout"
)

// repositoryRoot is the path of the repository's root, relative to this package.
const repositoryRoot = "../.."

// TestExternalNamesDoNotChange guards against a rename in the code that changes an external name.
// A new name must be added to its list in testdata. No name may be removed, since other versions of this
// program, the platform or operators' scripts depend on it.
func TestExternalNamesDoNotChange(t *testing.T) {
	files := sourceFiles(t)
	for _, list := range []struct {
		name  string
		names []string
	}{
		{"struct-tags", structTags(files)},
		{"map-keys", mapKeys(files)},
		{"paths-and-keys", pathsAndKeys(files)},
		{"stored-keys", storedKeys()},
		{"metrics", metrics(files)},
		{"command-line", commandLine(files)},
		{"settings", settingsFields(t)},
		{"peer-messages", peerMessages()},
		{"enum-values", enumValues(files)},
		{"user-texts", userTexts(files)},
		{"log-attributes", logAttributes(files)},
		{"file-names", fileNames(files)},
	} {
		t.Run(list.name, func(t *testing.T) { compareWithList(t, list.name, list.names) })
	}
}

// compareWithList compares names with the list in testdata. If UPDATE_WIRE_NAMES is set, it writes that
// list first.
func compareWithList(t *testing.T, name string, names []string) {
	t.Helper()
	slices.Sort(names)
	names = slices.Compact(names)
	path := filepath.Join("testdata", name+".txt")
	if os.Getenv("UPDATE_WIRE_NAMES") != "" {
		if err := os.WriteFile(path, []byte(strings.Join(names, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	listedNames := strings.Split(strings.TrimSpace(string(raw)), "\n")
	for _, line := range listedNames {
		if !slices.Contains(names, line) {
			t.Errorf("missing from the code: %s", line)
		}
	}
	for _, line := range names {
		if !slices.Contains(listedNames, line) {
			t.Errorf("not listed in %s: %s", path, line)
		}
	}
}

// sourceFiles parses the program's source files, except tests, test fakes and generated code.
func sourceFiles(t *testing.T) []*ast.File {
	t.Helper()
	var files []*ast.File
	set := token.NewFileSet()
	for _, dir := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, dir), func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir() && (entry.Name() == "fake" || entry.Name() == "testdata"):
				return filepath.SkipDir
			case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go"):
				return nil
			}
			file, err := parser.ParseFile(set, path, nil, 0)
			files = append(files, file)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// structTags returns, for each struct with tags, its tags in the order of its fields. They determine the
// format of a stored value, a message or a settings table independently of the Go names.
func structTags(files []*ast.File) (lists []string) {
	inspect(files, func(node ast.Node) {
		structure, ok := node.(*ast.StructType)
		if !ok {
			return
		}
		var tags []string
		for _, field := range structure.Fields.List {
			if field.Tag != nil {
				tags = append(tags, strings.Trim(field.Tag.Value, "`"))
			}
		}
		if len(tags) > 0 {
			lists = append(lists, strings.Join(tags, " "))
		}
	})
	return lists
}

// mapKeys returns the keys of map literals that are written as JSON.
func mapKeys(files []*ast.File) (keys []string) {
	inspect(files, func(node ast.Node) {
		literal, ok := node.(*ast.CompositeLit)
		if !ok {
			return
		}
		mapType, ok := literal.Type.(*ast.MapType)
		if !ok || !isIdent(mapType.Key, "string") || !isIdent(mapType.Value, "any") && !isIdent(mapType.Value, "string") {
			return
		}
		for _, element := range literal.Elts {
			if pair, ok := element.(*ast.KeyValueExpr); ok {
				if key, ok := stringValue(pair.Key); ok {
					keys = append(keys, key)
				}
			}
		}
	})
	return keys
}

// pathOrKey matches HTTP paths and keys of the state service, or parts of them.
var pathOrKey = regexp.MustCompile(`^/?([a-z0-9~%:{}*]+/)+[a-z0-9~%:{}*]*$|^/[a-z0-9]+$|^~[a-z]+$`)

// pathsAndKeys returns the string literals that match pathOrKey, except import paths.
func pathsAndKeys(files []*ast.File) (matches []string) {
	imports := map[ast.Node]bool{}
	inspect(files, func(node ast.Node) {
		if spec, ok := node.(*ast.ImportSpec); ok {
			imports[spec.Path] = true
		}
	})
	inspect(files, func(node ast.Node) {
		if expression, ok := node.(ast.Expr); ok && !imports[node] {
			if text, ok := stringValue(expression); ok && pathOrKey.MatchString(text) {
				matches = append(matches, text)
			}
		}
	})
	return matches
}

// storedKeys returns the keys and key prefixes of records in the state service.
func storedKeys() []string {
	keys := []string{record.PoolPrefix, record.TypesKey, record.JobKey("J"), record.FinalRecordKey("J"), record.WaitKey("J"), record.CancelKey("J"),
		quota.Prefix, rollout.Prefix}
	for _, shard := range []record.ShardKeys{record.KeysOf(0, 1), record.KeysOf(2, 3)} {
		keys = append(keys, shard.Leader(), shard.Generation(), shard.ProvisioningRequests())
	}
	return keys
}

// metrics returns the names of the recorded latencies and counts.
func metrics(files []*ast.File) (names []string) {
	constants := map[string]string{}
	inspect(files, func(node ast.Node) {
		if spec, ok := node.(*ast.ValueSpec); ok && len(spec.Names) == 1 && len(spec.Values) == 1 {
			if text, ok := stringValue(spec.Values[0]); ok {
				constants[spec.Names[0].Name] = text
			}
		}
	})
	inspect(files, func(node ast.Node) {
		call, ok := node.(*ast.CallExpr)
		if !ok || len(call.Args) != 2 {
			return
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || method.Sel.Name != "Took" && method.Sel.Name != "Count" {
			return
		}
		name, _ := leftmostString(call.Args[0])
		switch argument := call.Args[0].(type) {
		case *ast.SelectorExpr:
			name = constants[argument.Sel.Name]
		case *ast.Ident:
			name = constants[argument.Name]
		}
		if name != "" {
			names = append(names, method.Sel.Name+" "+name)
		}
	})
	return names
}

// commandLine returns the names of commands, flags and environment variables.
func commandLine(files []*ast.File) (names []string) {
	inspect(files, func(node ast.Node) {
		switch node := node.(type) {
		case *ast.KeyValueExpr:
			if text, ok := stringValue(node.Value); ok && isIdent(node.Key, "Use") {
				names = append(names, "command "+text)
			}
		case *ast.CallExpr:
			method, ok := node.Fun.(*ast.SelectorExpr)
			if !ok {
				return
			}
			switch {
			case strings.HasSuffix(method.Sel.Name, "Var") && len(node.Args) >= 4:
				if flag, ok := stringValue(node.Args[1]); ok {
					names = append(names, "flag "+flag)
				}
			case method.Sel.Name == "Getenv":
				if variable, ok := stringValue(node.Args[0]); ok {
					names = append(names, "environment "+variable)
				}
			}
		}
	})
	return names
}

// settingsFields returns the fields of the operators' settings, of the features file and of the deploy file.
func settingsFields(t *testing.T) (fields []string) {
	t.Helper()
	for _, pattern := range []string{"internal/config/*.proto", "deploy/service.toml"} {
		paths, err := filepath.Glob(filepath.Join(repositoryRoot, pattern))
		if err != nil || len(paths) == 0 {
			t.Fatalf("files that match %s: got %v, error %v", pattern, paths, err)
		}
		for _, path := range paths {
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, line := range bytes.Split(raw, []byte("\n")) {
				if field := settingsLine.FindSubmatch(line); field != nil {
					fields = append(fields, filepath.Base(path)+" "+string(bytes.Join(field[1:], nil)))
				}
			}
		}
	}
	return fields
}

// settingsLine matches a field with its number in a .proto file, or a key or table of a TOML file.
var settingsLine = regexp.MustCompile(`^\s*((?:optional |repeated )?[A-Za-z0-9_.]+ [a-z_0-9]+ = \d+);|^([a-z_]+) = |^(\[[a-z_.]+\])`)

// peerMessages returns the names of the calls between controllers, and the names of the fields of their
// arguments and results, which gob transmits.
func peerMessages() (names []string) {
	service := reflect.TypeFor[*peer.Service]()
	for i := range service.NumMethod() {
		method := service.Method(i)
		names = append(names, "call "+method.Name)
		for _, side := range []int{1, 2} {
			for _, field := range gobFields(method.Type.In(side), nil) {
				names = append(names, fmt.Sprintf("call %s %d %s", method.Name, side, field))
			}
		}
	}
	return names
}

// gobFields returns the paths of the fields that gob transmits for a type, each with its kind.
func gobFields(sent reflect.Type, path []string) (fields []string) {
	if sent.Implements(reflect.TypeFor[json.Marshaler]()) {
		return []string{strings.Join(path, ".") + " by its own method"}
	}
	switch sent.Kind() {
	case reflect.Pointer, reflect.Slice:
		if sent.Elem().Kind() == reflect.Uint8 {
			return []string{strings.Join(path, ".") + " bytes"}
		}
		return gobFields(sent.Elem(), path)
	case reflect.Map:
		return gobFields(sent.Elem(), append(slices.Clone(path), "{"+sent.Key().Kind().String()+"}"))
	case reflect.Struct:
		if sent.PkgPath() == "time" {
			return []string{strings.Join(path, ".") + " time"}
		}
		for i := range sent.NumField() {
			if field := sent.Field(i); field.IsExported() {
				fields = append(fields, gobFields(field.Type, append(slices.Clone(path), field.Name))...)
			}
		}
		return fields
	default:
		return []string{strings.Join(path, ".") + " " + sent.Kind().String()}
	}
}

// inspect calls visit for every node of every file.
func inspect(files []*ast.File, visit func(ast.Node)) {
	for _, file := range files {
		ast.Inspect(file, func(node ast.Node) bool {
			if node != nil {
				visit(node)
			}
			return true
		})
	}
}

func isIdent(expression ast.Expr, name string) bool {
	ident, ok := expression.(*ast.Ident)
	return ok && ident.Name == name
}

func stringValue(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// leftmostString returns the leftmost string literal of a concatenation such as "state " + name.
func leftmostString(expression ast.Expr) (string, bool) {
	for {
		sum, ok := expression.(*ast.BinaryExpr)
		if !ok {
			return stringValue(expression)
		}
		expression = sum.X
	}
}
