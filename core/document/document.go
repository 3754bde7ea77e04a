// Package document reads JSON that people write. It keeps the place of every
// value, so that all faults of a file are reported together, each with its
// line and path. It decodes into plain structs with kebab-case json tags;
// a field tagged required:"true" must stand in the file.
//
// It is not a general JSON library: it knows no interface values.
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

// maxDepth bounds nesting, so that hostile input cannot exhaust the stack.
const maxDepth = 32

// node is one JSON value with its place.
type node struct {
	line  int
	value any // string, json.Number, bool, nil, object or array
}

type member struct {
	key  string
	line int
	node *node
}

type (
	object []member
	array  []*node
)

// Decode fills target, a pointer to a struct, from data. Values that the file
// does not name keep what target held. All faults are returned together.
func Decode(file string, data []byte, target any) tanagerroad.Findings {
	_, findings := decode(file, data, target)
	return findings
}

// Lines decodes as Decode does and also returns the line of each path that the
// file holds, for checks that come after.
func Lines(file string, data []byte, target any) (map[string]int, tanagerroad.Findings) {
	return decode(file, data, target)
}

// LineOf is the line of a path or, where the file does not hold it, of the
// nearest value around it.
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
		d.fault(err.line, "", err.found, err.want)
		return d.lines, d.findings
	}
	d.fill(root, reflect.ValueOf(target).Elem(), "")
	return d.lines, d.findings
}

type syntaxError struct {
	line        int
	found, want string
}

// parser walks the tokens of encoding/json and adds their lines.
type parser struct {
	data    []byte
	dec     *json.Decoder
	counted int // offset up to which newlines are counted
	line    int
}

func parse(data []byte) (*node, *syntaxError) {
	p := &parser{data: data, dec: json.NewDecoder(bytes.NewReader(data)), line: 1}
	p.dec.UseNumber()
	root, err := p.value(0)
	if err != nil {
		return nil, p.explain(err)
	}
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &syntaxError{p.here(), "more after the document", "one JSON object"}
	}
	return root, nil
}

func (p *parser) explain(err error) *syntaxError {
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return &syntaxError{p.lineAt(int(syntax.Offset)), syntax.Error(), "valid JSON"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return &syntaxError{p.lineAt(len(p.data)), "the file's end", "valid JSON"}
	}
	return &syntaxError{p.here(), err.Error(), "valid JSON"}
}

func (p *parser) lineAt(offset int) int {
	offset = min(offset, len(p.data))
	return 1 + bytes.Count(p.data[:offset], []byte("\n"))
}

// here is the line of the token just read.
func (p *parser) here() int {
	end := min(int(p.dec.InputOffset()), len(p.data))
	p.line += bytes.Count(p.data[p.counted:end], []byte("\n"))
	p.counted = end
	return p.line
}

func (p *parser) value(depth int) (*node, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("values nested more than %d deep", maxDepth)
	}
	token, err := p.dec.Token()
	if err != nil {
		return nil, err
	}
	n := &node{line: p.here(), value: token}
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
			return nil, fmt.Errorf("key %v", token)
		}
		m := member{key: key, line: p.here()}
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

func (d *decoder) fault(line int, path, found, want string) {
	d.findings = append(d.findings, tanagerroad.Finding{File: d.file, Line: line, Path: path, Found: found, Want: want})
}

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
		d.fault(n.line, path, describe(n), err.Error())
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
		if i, err := strconv.ParseInt(number(n), 10, 64); err == nil {
			v.SetInt(i)
			return
		}
	case reflect.Float64:
		if f, err := strconv.ParseFloat(number(n), 64); err == nil {
			v.SetFloat(f)
			return
		}
	}
	d.fault(n.line, path, describe(n), kindName(v.Kind()))
}

func number(n *node) string {
	s, _ := n.value.(json.Number)
	return s.String()
}

func (d *decoder) fillSlice(n *node, v reflect.Value, path string) {
	items, ok := n.value.(array)
	if !ok {
		d.fault(n.line, path, describe(n), "an array")
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
		d.fault(n.line, path, describe(n), "an object")
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
		d.fault(n.line, path, describe(n), "an object")
		return
	}
	fields := map[string]reflect.StructField{}
	var names []string
	for _, field := range reflect.VisibleFields(v.Type()) {
		name := Name(field)
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
			d.fault(m.line, join(path, m.key), "an unknown key", "one of "+strings.Join(names, ", "))
			continue
		}
		seen[m.key] = true
		d.fill(m.node, v.FieldByIndex(field.Index), join(path, m.key))
	}
	for _, name := range names {
		required := fields[name].Tag.Get("required") == "true"
		if required && !seen[name] {
			d.fault(n.line, join(path, name), "nothing", "a value, since it is required")
		}
	}
}

// unique reports keys that stand twice and keeps the first of each.
func (d *decoder) unique(members object, path string) object {
	var out object
	first := map[string]int{}
	for _, m := range members {
		if line, twice := first[m.key]; twice {
			d.fault(m.line, join(path, m.key), "the key a second time", fmt.Sprintf("it once; first on line %d", line))
			continue
		}
		first[m.key] = m.line
		out = append(out, m)
	}
	return out
}

// Name is the key under which a struct field stands in a document; empty when
// the field does not stand there.
func Name(f reflect.StructField) string {
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

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
