// Package document decodes JSON files that people write. It tracks the line of
// every value, so that all errors in a file are reported together, each with its
// line and path. It decodes into plain structs with kebab-case json tags; a
// field tagged required:"true" must be present in the file.
//
// It is not a general JSON library: it does not decode into interface values.
package document

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"tanagerroad"
)

// maxDepth limits nesting, so that hostile input cannot exhaust the stack.
const maxDepth = 32

// node is a JSON value and the line it starts on.
type node struct {
	line  int
	value any // string, json.Number, bool, nil, object or array
}

// member is one key of a JSON object with its value.
type member struct {
	key  string
	line int
	node *node
}

type (
	object []member
	array  []*node
)

// Decode decodes data into target, a pointer to a struct. Fields that are absent
// from the file keep their previous values. All errors are returned together;
// file is only used to label them.
func Decode(file string, data []byte, target any) tanagerroad.Findings {
	_, findings := decode(file, data, target)
	return findings
}

// DecodeLines is like Decode and also returns the line of each path in the file,
// for use with LineOf in later checks.
func DecodeLines(file string, data []byte, target any) (map[string]int, tanagerroad.Findings) {
	return decode(file, data, target)
}

// LineOf returns the line of a path or, if the file does not contain the path, of
// the nearest enclosing value.
func LineOf(lines map[string]int, path string) int {
	for {
		if line, ok := lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return lines[""]
		}
		path = path[:cut]
	}
}

func decode(file string, data []byte, target any) (map[string]int, tanagerroad.Findings) {
	d := &decoder{file: file, lines: map[string]int{}}
	root, err := parse(data)
	if err != nil {
		d.addFinding(err.line, "", err.found, err.want)
		return d.lines, d.findings
	}
	d.fill(root, reflect.ValueOf(target).Elem(), "")
	return d.lines, d.findings
}

// syntaxError is an error that ends the parsing of the whole file.
type syntaxError struct {
	line        int
	found, want string
}

// parser builds a tree of nodes from the tokens of encoding/json and records
// their lines.
type parser struct {
	data      []byte
	dec       *json.Decoder
	countedTo int // offset up to which newlines have been counted
	line      int
}

func parse(data []byte) (*node, *syntaxError) {
	p := &parser{data: data, dec: json.NewDecoder(bytes.NewReader(data)), line: 1}
	p.dec.UseNumber()
	root, err := p.value(0)
	if err != nil {
		return nil, p.syntaxErrorFor(err)
	}
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &syntaxError{p.currentLine(), "data after the first JSON value", "one JSON object"}
	}
	return root, nil
}

func (p *parser) syntaxErrorFor(err error) *syntaxError {
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return &syntaxError{p.lineAt(int(syntax.Offset)), syntax.Error(), "valid JSON"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return &syntaxError{p.lineAt(len(p.data)), "end of file", "valid JSON"}
	}
	return &syntaxError{p.currentLine(), err.Error(), "valid JSON"}
}

func (p *parser) lineAt(offset int) int {
	offset = min(offset, len(p.data))
	return 1 + bytes.Count(p.data[:offset], []byte("\n"))
}

// currentLine returns the line of the token just read.
func (p *parser) currentLine() int {
	end := min(int(p.dec.InputOffset()), len(p.data))
	p.line += bytes.Count(p.data[p.countedTo:end], []byte("\n"))
	p.countedTo = end
	return p.line
}

func (p *parser) value(depth int) (*node, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("values nested more than %d levels deep", maxDepth)
	}
	token, err := p.dec.Token()
	if err != nil {
		return nil, err
	}
	n := &node{line: p.currentLine(), value: token}
	switch token {
	case json.Delim('{'):
		n.value, err = p.object(depth)
	case json.Delim('['):
		n.value, err = p.array(depth)
	}
	return n, err
}

func (p *parser) object(depth int) (object, error) {
	var o object
	for p.dec.More() {
		token, err := p.dec.Token()
		if err != nil {
			return nil, err
		}
		key, ok := token.(string)
		if !ok {
			return nil, fmt.Errorf("object key %v is not a string", token)
		}
		m := member{key: key, line: p.currentLine()}
		if m.node, err = p.value(depth + 1); err != nil {
			return nil, err
		}
		o = append(o, m)
	}
	_, err := p.dec.Token()
	return o, err
}

func (p *parser) array(depth int) (array, error) {
	a := array{}
	for p.dec.More() {
		n, err := p.value(depth + 1)
		if err != nil {
			return nil, err
		}
		a = append(a, n)
	}
	_, err := p.dec.Token()
	return a, err
}

type decoder struct {
	file     string
	lines    map[string]int
	findings tanagerroad.Findings
}

func (d *decoder) addFinding(line int, path, found, want string) {
	d.findings = append(d.findings, tanagerroad.Finding{File: d.file, Line: line, Path: path, Found: found, Want: want})
}

// fill decodes n into v and records the line of path.
func (d *decoder) fill(n *node, v reflect.Value, path string) {
	d.lines[path] = n.line
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.fillText(n, u, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.fillStruct(n, v, path)
	case reflect.Slice:
		d.fillSlice(n, v, path)
	case reflect.Map:
		d.fillMap(n, v, path)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.fill(n, v.Elem(), path)
	default:
		d.fillScalar(n, v, path)
	}
}

func (d *decoder) fillText(n *node, u encoding.TextUnmarshaler, path string) {
	text, ok := n.value.(string)
	if !ok {
		text = describe(n)
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		d.addFinding(n.line, path, describe(n), err.Error())
	}
}

func (d *decoder) fillScalar(n *node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		if s, ok := n.value.(string); ok {
			v.SetString(s)
			return
		}
	case reflect.Bool:
		if b, ok := n.value.(bool); ok {
			v.SetBool(b)
			return
		}
	case reflect.Int, reflect.Int64:
		if i, err := strconv.ParseInt(numberText(n), 10, 64); err == nil {
			v.SetInt(i)
			return
		}
	case reflect.Float64:
		if f, err := strconv.ParseFloat(numberText(n), 64); err == nil {
			v.SetFloat(f)
			return
		}
	}
	d.addFinding(n.line, path, describe(n), kindName(v.Kind()))
}

func numberText(n *node) string {
	s, _ := n.value.(json.Number)
	return s.String()
}

func (d *decoder) fillSlice(n *node, v reflect.Value, path string) {
	items, ok := n.value.(array)
	if !ok {
		d.addFinding(n.line, path, describe(n), "an array")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		d.fill(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) fillMap(n *node, v reflect.Value, path string) {
	members, ok := n.value.(object)
	if !ok {
		d.addFinding(n.line, path, describe(n), "an object")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, m := range d.unique(members, path) {
		item := reflect.New(v.Type().Elem()).Elem()
		d.fill(m.node, item, join(path, m.key))
		v.SetMapIndex(reflect.ValueOf(m.key), item)
	}
}

func (d *decoder) fillStruct(n *node, v reflect.Value, path string) {
	members, ok := n.value.(object)
	if !ok {
		d.addFinding(n.line, path, describe(n), "an object")
		return
	}
	fields := map[string]reflect.StructField{}
	var names []string
	for _, field := range reflect.VisibleFields(v.Type()) {
		name := FieldKey(field)
		if name == "" || field.Anonymous {
			continue
		}
		fields[name] = field
		names = append(names, name)
	}
	seen := map[string]bool{}
	for _, m := range d.unique(members, path) {
		field, known := fields[m.key]
		if !known {
			d.addFinding(m.line, join(path, m.key), "an unknown key", "one of "+strings.Join(names, ", "))
			continue
		}
		seen[m.key] = true
		d.fill(m.node, v.FieldByIndex(field.Index), join(path, m.key))
	}
	for _, name := range names {
		required := fields[name].Tag.Get("required") == "true"
		if required && !seen[name] {
			d.addFinding(n.line, join(path, name), "nothing", "a value, since it is required")
		}
	}
}

// unique reports duplicate keys and returns the members without them, keeping the
// first of each.
func (d *decoder) unique(members object, path string) object {
	var out object
	first := map[string]int{}
	for _, m := range members {
		if line, duplicate := first[m.key]; duplicate {
			d.addFinding(m.line, join(path, m.key), "a duplicate key", fmt.Sprintf("each key once; the first is on line %d", line))
			continue
		}
		first[m.key] = m.line
		out = append(out, m)
	}
	return out
}

// FieldKey returns the JSON key of a struct field. It is empty if the field has no
// json tag or is excluded by the tag "-".
func FieldKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// describe renders a value for the Found text of a finding.
func describe(n *node) string {
	switch v := n.value.(type) {
	case string:
		return strconv.Quote(v)
	case json.Number:
		return v.String()
	case bool:
		return strconv.FormatBool(v)
	case object:
		return "an object"
	case array:
		return "an array"
	}
	return "null"
}

// kindName describes a Go kind as the JSON type it is decoded from.
func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "an integer"
}
