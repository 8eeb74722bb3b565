package hgtimes

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Constant is a constant whose value holds a unit of package time.
type Constant struct {
	// Package is the folder of its package, relative to the root of the source.
	Package string
	Name    string
	// Value is the expression of the value as it stands in the source.
	Value string
	// Comment is the comment of the constant, in one line.
	Comment string
}

// Find returns the time constants in the source below root, sorted by package. Tests, hidden folders, build output in
// target folders and the test support in internal/proof are left out.
func Find(root string) (constants []Constant, err error) {
	defer func() { err = trace.Wrap(err, "time constants") }()
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		rel := filepath.ToSlash(strings.TrimPrefix(path, root+string(filepath.Separator)))
		switch {
		case err != nil:
			return err
		case d.IsDir() && (strings.HasPrefix(d.Name(), ".") && path != root || rel == "internal/proof" || d.Name() == "target"):
			return fs.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		found, err := findInFile(path, filepath.ToSlash(filepath.Dir(rel)))
		constants = append(constants, found...)
		return err
	})
	slices.SortStableFunc(constants, func(a, b Constant) int { return cmp.Compare(a.Package, b.Package) })
	return constants, err
}

// findInFile returns the time constants of one file.
func findInFile(path, pkg string) (constants []Constant, err error) {
	files := token.NewFileSet()
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	file, err := parser.ParseFile(files, path, source, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	for _, decl := range file.Decls {
		gen, ok := decl.(*ast.GenDecl)
		if !ok || gen.Tok != token.CONST {
			continue
		}
		// A comment applies to its constant and to those after it, up to the next comment.
		comment := gen.Doc.Text()
		for _, spec := range gen.Specs {
			value := spec.(*ast.ValueSpec)
			if text := value.Doc.Text() + value.Comment.Text(); text != "" {
				comment = text
			}
			constants = append(constants, timeConstants(files, pkg, value, comment)...)
		}
	}
	return constants, nil
}

// timeConstants returns the constants of a declaration whose values hold a unit of time.
func timeConstants(files *token.FileSet, pkg string, spec *ast.ValueSpec, comment string) (constants []Constant) {
	for i, value := range spec.Values {
		var text strings.Builder
		if err := printer.Fprint(&text, files, value); err != nil || !usesTimePackage(value) {
			continue
		}
		constants = append(constants, Constant{
			Package: pkg, Name: spec.Names[i].Name, Value: text.String(), Comment: strings.Join(strings.Fields(comment), " "),
		})
	}
	return constants
}

// usesTimePackage reports whether an expression refers to a name of package time, such as time.Second.
func usesTimePackage(value ast.Expr) (found bool) {
	ast.Inspect(value, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok {
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" {
				found = true
			}
		}
		return true
	})
	return found
}

// Write prints the constants as a Markdown page with a table for each package.
func Write(w io.Writer, constants []Constant) (err error) {
	if _, err = io.WriteString(w, "# Constants of time\n\nMade from the source by `hyssopgrade times > docs/TIMES.md`; a test keeps it true. Settings stand in the settings' files.\n"); err != nil {
		return err
	}
	pkg := ""
	for _, c := range constants {
		if c.Package != pkg {
			pkg = c.Package
			if _, err = fmt.Fprintf(w, "\n## %s\n\n| constant | value | what for |\n|---|---|---|\n", pkg); err != nil {
				return err
			}
		}
		if _, err = fmt.Fprintf(w, "| `%s` | `%s` | %s |\n", c.Name, c.Value, strings.ReplaceAll(c.Comment, "|", "\\|")); err != nil {
			return err
		}
	}
	return nil
}
