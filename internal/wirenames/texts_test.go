package wirenames

import (
	"go/ast"
	"go/token"
	"regexp"
	"strconv"
	"strings"
)

// enumValues returns the string literals in constant declarations and in composite literals. They include
// the values of states, kinds, priorities and commands that are stored, sent or parsed.
func enumValues(files []*ast.File) (values []string) {
	add := func(expressions ...ast.Expr) {
		for _, expression := range expressions {
			if text, ok := stringValue(expression); ok && text != "" {
				values = append(values, strconv.Quote(text))
			}
		}
	}
	inspect(files, func(node ast.Node) {
		switch node := node.(type) {
		case *ast.GenDecl:
			if node.Tok != token.CONST {
				return
			}
			for _, spec := range node.Specs {
				add(spec.(*ast.ValueSpec).Values...)
			}
		case *ast.CompositeLit:
			for _, element := range node.Elts {
				if pair, ok := element.(*ast.KeyValueExpr); ok {
					add(pair.Key, pair.Value)
					continue
				}
				add(element)
			}
		}
	})
	return values
}

// userTexts returns the string literals that contain a space or a formatting verb and are neither log
// messages nor error texts: explanations of jobs, states of rollouts, reports and help of commands.
func userTexts(files []*ast.File) (texts []string) {
	messages := messageLiterals(files)
	inspect(files, func(node ast.Node) {
		expression, ok := node.(ast.Expr)
		if !ok || messages[node] {
			return
		}
		if text, ok := stringValue(expression); ok && strings.ContainsAny(text, " %") {
			texts = append(texts, strconv.Quote(text))
		}
	})
	return texts
}

// messageLiterals returns the literals that are the message of a log line, an error text or a struct
// tag.
func messageLiterals(files []*ast.File) map[ast.Node]bool {
	messages := map[ast.Node]bool{}
	inspect(files, func(node ast.Node) {
		switch node := node.(type) {
		case *ast.Field:
			if node.Tag != nil {
				messages[node.Tag] = true
			}
		case *ast.CallExpr:
			if len(node.Args) > 0 && (isCallOf(node, "slog", "") || isCallOf(node, "errors", "New") || isCallOf(node, "fmt", "Errorf")) {
				messages[node.Args[0]] = true
			}
		}
	})
	return messages
}

// logAttributes returns the attribute keys of log lines, each with the log level.
func logAttributes(files []*ast.File) (names []string) {
	inspect(files, func(node ast.Node) {
		call, ok := node.(*ast.CallExpr)
		if !ok || !isCallOf(call, "slog", "") {
			return
		}
		method := call.Fun.(*ast.SelectorExpr).Sel.Name
		for i := 1; i < len(call.Args); i += 2 {
			if key, ok := stringValue(call.Args[i]); ok {
				names = append(names, method+" "+key)
			}
		}
	})
	return names
}

// fileName matches a file name or a file name suffix.
var fileName = regexp.MustCompile(`^[a-z0-9%-]*\.[a-z.]+$`)

// fileNames returns the names and suffixes of the files that commands read and write.
func fileNames(files []*ast.File) (names []string) {
	inspect(files, func(node ast.Node) {
		if expression, ok := node.(ast.Expr); ok {
			if text, ok := stringValue(expression); ok && fileName.MatchString(text) {
				names = append(names, text)
			}
		}
	})
	return names
}

// isCallOf reports whether a call invokes the given function of a package, or any function of the package
// if function is empty.
func isCallOf(call *ast.CallExpr, packageName, function string) bool {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	return ok && isIdent(selector.X, packageName) && (function == "" || selector.Sel.Name == function)
}
