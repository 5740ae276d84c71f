package configurator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// maxDepth is the deepest nesting of a configuration; a well-formed one needs 5 levels.
const maxDepth = 16

// Parse reads and validates a configuration; its error carries every problem found with its JSON path.
func Parse(data []byte) (*Config, error) {
	if err := CheckSize(data); err != nil {
		return nil, err
	}
	if !utf8.Valid(data) {
		return nil, &Error{Op: "parse", Kind: KindSyntax, Err: errors.New("input is not valid UTF-8")}
	}
	var ignored json.RawMessage
	if err := json.Unmarshal(data, &ignored); err != nil {
		return nil, &Error{Op: "parse", Kind: KindSyntax, Err: locate(data, err)}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	reader := &treeReader{decoder: decoder}
	root, err := reader.read("$", 0)
	if err != nil {
		return nil, &Error{Op: "parse", Kind: KindSyntax, Err: err}
	}
	config := &Config{}
	assigner := &assigner{problems: reader.problems}
	assigner.assign(root, reflect.ValueOf(config).Elem(), "$")
	if err := assigner.problems.addIndependent(validate(config)).asError("parse"); err != nil {
		return nil, err
	}
	return config, nil
}

// CheckSize returns an error that states the size of data if it exceeds MaxSize.
func CheckSize(data []byte) error {
	if len(data) <= MaxSize {
		return nil
	}
	return &Error{Op: "parse", Kind: KindTooLarge,
		Err: errors.Errorf("it has %d bytes, %d more than the limit of %d", len(data), len(data)-MaxSize, MaxSize)}
}

// addIndependent appends the problems of further whose path has no problem at, above or below it; those that have
// one would only state its consequence.
func (p Problems) addIndependent(further Problems) Problems {
	faulty := make(map[string]bool, len(p))
	containing := make(map[string]bool, len(p))
	for _, problem := range p {
		faulty[problem.Path] = true
		for path := parentOf(problem.Path); path != "" && !containing[path]; path = parentOf(path) {
			containing[path] = true
		}
	}
	all := p
	for _, problem := range further {
		known := containing[problem.Path]
		for path := problem.Path; path != "" && !known; path = parentOf(path) {
			known = faulty[path]
		}
		if !known {
			all = append(all, problem)
		}
	}
	return all
}

// parentOf returns the path of the object or array that contains path, or "" for the root.
func parentOf(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// locate adds the line and column to a syntax error.
func locate(data []byte, err error) error {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	offset := min(max(int(syntax.Offset)-1, 0), len(data))
	line := 1 + bytes.Count(data[:offset], []byte("\n"))
	column := offset - bytes.LastIndexByte(data[:offset], '\n')
	return errors.Wrapf(err, "line %d, column %d", line, column)
}

// tree is a JSON value that keeps the order of object members.
type tree struct {
	value   any // string, json.Number, bool or nil for scalars; '{' or '[' as json.Delim otherwise
	names   []string
	members []*tree // of an object in the order of names, or of an array
}

type treeReader struct {
	decoder  *json.Decoder
	problems Problems
}

func (r *treeReader) read(path string, depth int) (*tree, error) {
	if depth > maxDepth {
		return nil, errors.Errorf("%s: nested deeper than %d levels", path, maxDepth)
	}
	token, err := r.decoder.Token()
	if err != nil {
		return nil, err
	}
	delim, ok := token.(json.Delim)
	if !ok {
		return &tree{value: token}, nil
	}
	node := &tree{value: delim}
	if delim == '{' {
		err = r.readObject(node, path, depth)
	} else {
		err = r.readArray(node, path, depth)
	}
	return node, err
}

func (r *treeReader) readObject(node *tree, path string, depth int) error {
	seen := make(map[string]bool)
	for r.decoder.More() {
		token, err := r.decoder.Token()
		if err != nil {
			return err
		}
		name := token.(string)
		memberPath := path + "." + name
		member, err := r.read(memberPath, depth+1)
		if err != nil {
			return err
		}
		if seen[name] {
			r.problems = append(r.problems, Problem{memberPath, KindSyntax, "field is given more than once"})
			continue
		}
		seen[name] = true
		node.names = append(node.names, name)
		node.members = append(node.members, member)
	}
	_, err := r.decoder.Token()
	return err
}

func (r *treeReader) readArray(node *tree, path string, depth int) error {
	for i := 0; r.decoder.More(); i++ {
		member, err := r.read(fmt.Sprintf("%s[%d]", path, i), depth+1)
		if err != nil {
			return err
		}
		node.members = append(node.members, member)
	}
	_, err := r.decoder.Token()
	return err
}
