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

// maxDepth is the maximum nesting depth of a configuration; a valid one has 5 levels.
const maxDepth = 16

// Parse decodes and validates a configuration; its *Error contains all problems found, with their JSON paths.
func Parse(data []byte) (*Config, error) {
	if err := CheckSize(data); err != nil {
		return nil, err
	}
	if !utf8.Valid(data) {
		return nil, &Error{Op: "parse", Kind: KindSyntax, Err: errors.New("input is not valid UTF-8")}
	}
	var ignored json.RawMessage
	if err := json.Unmarshal(data, &ignored); err != nil {
		return nil, &Error{Op: "parse", Kind: KindSyntax, Err: withPosition(data, err)}
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

// CheckSize returns an *Error of KindTooLarge if data exceeds MaxSize.
func CheckSize(data []byte) error {
	if len(data) <= MaxSize {
		return nil
	}
	return &Error{Op: "parse", Kind: KindTooLarge,
		Err: errors.Errorf("encoded size is %d bytes, %d more than the limit of %d",
			len(data), len(data)-MaxSize, MaxSize)}
}

// addIndependent appends the candidates that are not consequences of problems in p: it omits each whose path equals,
// contains or lies within the path of one of them.
func (p Problems) addIndependent(candidates Problems) Problems {
	paths := make(map[string]bool, len(p))
	ancestors := make(map[string]bool, len(p))
	for _, problem := range p {
		paths[problem.Path] = true
		for path := parentPath(problem.Path); path != "" && !ancestors[path]; path = parentPath(path) {
			ancestors[path] = true
		}
	}
	merged := p
	for _, problem := range candidates {
		related := ancestors[problem.Path]
		for path := problem.Path; path != "" && !related; path = parentPath(path) {
			related = paths[path]
		}
		if !related {
			merged = append(merged, problem)
		}
	}
	return merged
}

// parentPath returns the path of the object or array that contains path, or "" for the root.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// withPosition adds the line and column to a JSON syntax error.
func withPosition(data []byte, err error) error {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	offset := min(max(int(syntax.Offset)-1, 0), len(data))
	line := 1 + bytes.Count(data[:offset], []byte("\n"))
	column := offset - bytes.LastIndexByte(data[:offset], '\n')
	return errors.Wrapf(err, "line %d, column %d", line, column)
}

// jsonNode is a JSON value that preserves the order of object members.
type jsonNode struct {
	value   any         // string, json.Number, bool or nil for a scalar; json.Delim '{' or '[' otherwise
	names   []string    // of the members of an object
	members []*jsonNode // of an object, in the order of names, or of an array
}

type treeReader struct {
	decoder  *json.Decoder
	problems Problems
}

func (r *treeReader) read(path string, depth int) (*jsonNode, error) {
	if depth > maxDepth {
		return nil, errors.Errorf("%s: nested deeper than %d levels", path, maxDepth)
	}
	token, err := r.decoder.Token()
	if err != nil {
		return nil, err
	}
	delim, ok := token.(json.Delim)
	if !ok {
		return &jsonNode{value: token}, nil
	}
	node := &jsonNode{value: delim}
	if delim == '{' {
		err = r.readObject(node, path, depth)
	} else {
		err = r.readArray(node, path, depth)
	}
	return node, err
}

func (r *treeReader) readObject(node *jsonNode, path string, depth int) error {
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

func (r *treeReader) readArray(node *jsonNode, path string, depth int) error {
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
