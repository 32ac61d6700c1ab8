// Command rename renames declarations with gopls, several in one call, so that
// every use follows. It reads one rename a line from standard input:
//
//	DIR Name new            a function, type, constant or variable of the package in DIR
//	DIR Type.Member new     a method or field of a type in DIR
//	FILE.go:LINE old new    any identifier, at its first place in that line
//
// It runs in the root of the repository and prints "old -> new" for each rename.
// A rename that fails is reported, the others go on, and the exit status is 1.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

func main() {
	gopls := flag.String("gopls", "gopls", "the gopls program")
	remote := flag.String("remote", "", "address of a running gopls, as for its flag of that name")
	flag.Parse()
	failed := false
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		words := strings.Fields(in.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := rename(*gopls, *remote, words); err != nil {
			fmt.Fprintf(os.Stderr, "rename: %s: %v\n", in.Text(), err)
			failed = true
			continue
		}
		fmt.Printf("%s %s -> %s\n", words[0], words[1], words[2])
	}
	if err := in.Err(); err != nil {
		fmt.Fprintln(os.Stderr, "rename:", err)
		failed = true
	}
	if failed {
		os.Exit(1)
	}
}

func rename(gopls, remote string, words []string) error {
	if len(words) != 3 {
		return fmt.Errorf("three words are needed, there are %d", len(words))
	}
	at, err := place(words[0], words[1])
	if err != nil {
		return err
	}
	var args []string
	if remote != "" {
		args = append(args, "-remote="+remote)
	}
	args = append(args, "rename", "-w", at, words[2])
	out, err := exec.Command(gopls, args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, strings.TrimSpace(string(out)))
	}
	return nil
}

// place returns the position of an identifier, as FILE:LINE:COLUMN.
func place(where, name string) (string, error) {
	if file, line, ok := strings.Cut(where, ".go:"); ok {
		return inLine(file+".go", line, name)
	}
	files, err := filepath.Glob(filepath.Join(where, "*.go"))
	if err != nil {
		return "", err
	}
	set := token.NewFileSet()
	for _, path := range files {
		f, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return "", err
		}
		if id := find(f, name); id != nil {
			p := set.Position(id.Pos())
			return fmt.Sprintf("%s:%d:%d", p.Filename, p.Line, p.Column), nil
		}
	}
	return "", fmt.Errorf("no declaration of %s in %s", name, where)
}

func inLine(file, line, name string) (string, error) {
	n, err := strconv.Atoi(line)
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	lines := strings.Split(string(text), "\n")
	if n < 1 || n > len(lines) {
		return "", fmt.Errorf("%s has %d lines", file, len(lines))
	}
	at := regexp.MustCompile(`\b` + regexp.QuoteMeta(name) + `\b`).FindStringIndex(lines[n-1])
	if at == nil {
		return "", fmt.Errorf("no %s in line %d", name, n)
	}
	return fmt.Sprintf("%s:%d:%d", file, n, at[0]+1), nil
}

func find(f *ast.File, name string) *ast.Ident {
	typ, member, nested := strings.Cut(name, ".")
	for _, d := range f.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			switch {
			case !nested && d.Recv == nil && d.Name.Name == typ:
				return d.Name
			case nested && d.Recv != nil && receiver(d) == typ && d.Name.Name == member:
				return d.Name
			}
		case *ast.GenDecl:
			if id := findSpec(d, typ, member); id != nil {
				return id
			}
		}
	}
	return nil
}

func findSpec(d *ast.GenDecl, typ, member string) *ast.Ident {
	for _, s := range d.Specs {
		switch s := s.(type) {
		case *ast.TypeSpec:
			if s.Name.Name != typ {
				continue
			}
			if member == "" {
				return s.Name
			}
			return findMember(s.Type, member)
		case *ast.ValueSpec:
			for _, n := range s.Names {
				if member == "" && n.Name == typ {
					return n
				}
			}
		}
	}
	return nil
}

func findMember(t ast.Expr, member string) *ast.Ident {
	var list *ast.FieldList
	switch t := t.(type) {
	case *ast.StructType:
		list = t.Fields
	case *ast.InterfaceType:
		list = t.Methods
	default:
		return nil
	}
	for _, f := range list.List {
		for _, n := range f.Names {
			if n.Name == member {
				return n
			}
		}
	}
	return nil
}

// receiver returns the name of a method's type.
func receiver(d *ast.FuncDecl) string {
	t := d.Recv.List[0].Type
	if s, ok := t.(*ast.StarExpr); ok {
		t = s.X
	}
	if g, ok := t.(*ast.IndexExpr); ok {
		t = g.X
	}
	if id, ok := t.(*ast.Ident); ok {
		return id.Name
	}
	return ""
}
