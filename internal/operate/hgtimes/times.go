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

// Constant is a constant of time.
type Constant struct {
	// Package is the folder of its package.
	Package string
	Name    string
	// Value is its value as the source gives it.
	Value string
	// Comment says what it is for and where it comes from.
	Comment string
}

// Find returns the constants of time in the source below a folder, but for tests and stand-ins.
func Find(root string) (constants []Constant, err error) {
	defer func() { err = trace.Wrap(err, "constants of time") }()
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
		found, err := inFile(path, filepath.ToSlash(filepath.Dir(rel)))
		constants = append(constants, found...)
		return err
	})
	slices.SortStableFunc(constants, func(a, b Constant) int { return cmp.Compare(a.Package, b.Package) })
	return constants, err
}

func inFile(path, pkg string) (constants []Constant, err error) {
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
		// A comment speaks of the constants up to the next one.
		comment := gen.Doc.Text()
		for _, spec := range gen.Specs {
			value := spec.(*ast.ValueSpec)
			if text := value.Doc.Text() + value.Comment.Text(); text != "" {
				comment = text
			}
			constants = append(constants, ofTime(files, pkg, value, comment)...)
		}
	}
	return constants, nil
}

// ofTime returns the constants of a declaration whose values hold a unit of time.
func ofTime(files *token.FileSet, pkg string, spec *ast.ValueSpec, comment string) (constants []Constant) {
	for i, value := range spec.Values {
		var text strings.Builder
		if err := printer.Fprint(&text, files, value); err != nil || !holdsUnit(value) {
			continue
		}
		constants = append(constants, Constant{
			Package: pkg, Name: spec.Names[i].Name, Value: text.String(), Comment: strings.Join(strings.Fields(comment), " "),
		})
	}
	return constants
}

func holdsUnit(value ast.Expr) (found bool) {
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

// Write prints the constants as a page.
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
