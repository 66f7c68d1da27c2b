package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/oriolehub/oriolehub/internal/rules/statement"
)

// Fault is one error in a settings file.
type Fault struct {
	File string
	// Line counts from 1; it is 0 for a key that is missing.
	Line int
	// Key is the path of the key, e.g. Upstream.MaxConcurrent.
	Key     string
	Message string
}

// Error returns "file:line: key: message".
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Message)
}

// Faults lists every error of a settings file.
type Faults []Fault

// Error returns all faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// decoder fills a struct from a YAML node and collects the faults.
type decoder struct {
	file   string
	lines  map[string]int
	faults Faults
}

func (d *decoder) fault(line int, key, format string, args ...any) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// decode fills out, a pointer to a struct, from data.
func (d *decoder) decode(data []byte, out any) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		d.fault(0, "(file)", "not YAML: %v", err)
		return
	}
	if len(root.Content) == 0 {
		return
	}
	d.structure(root.Content[0], reflect.ValueOf(out).Elem(), "")
}

func (d *decoder) structure(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.fault(n.Line, orFile(path), "want keys and values")
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		name := joinPath(path, key.Value)
		if first, ok := seen[key.Value]; ok {
			d.fault(key.Line, name, "is given already on line %d", first)
			continue
		}
		seen[key.Value] = key.Line
		if !slices.Contains(fieldNames(v.Type()), key.Value) {
			d.fault(key.Line, name, "unknown key%s", suggestKey(key.Value, v.Type()))
			continue
		}
		field := v.FieldByName(key.Value)
		d.lines[name] = key.Line
		d.value(value, field, name)
	}
}

func (d *decoder) value(n *yaml.Node, v reflect.Value, path string) {
	switch v.Interface().(type) {
	case Duration:
		parsed, err := time.ParseDuration(n.Value)
		if err != nil {
			d.fault(n.Line, path, "%q: want a time span with its unit, e.g. 500ms, 2s or 10m", n.Value)
			return
		}
		v.SetInt(int64(parsed))
		return
	case Bytes:
		parsed, err := ParseBytes(n.Value)
		if err != nil {
			d.fault(n.Line, path, "%v", err)
			return
		}
		v.SetInt(int64(parsed))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.structure(n, v, path)
	case reflect.Slice:
		d.list(n, v, path)
	case reflect.String:
		if n.Kind != yaml.ScalarNode {
			d.fault(n.Line, path, "want a text")
			return
		}
		v.SetString(n.Value)
	case reflect.Int:
		d.scalar(n, v, path, "a whole number")
	case reflect.Float64:
		d.scalar(n, v, path, "a number")
	case reflect.Bool:
		d.scalar(n, v, path, "true or false")
	}
}

func (d *decoder) scalar(n *yaml.Node, v reflect.Value, path, want string) {
	if err := n.Decode(v.Addr().Interface()); err != nil {
		d.fault(n.Line, path, "%q: want %s", n.Value, want)
	}
}

func (d *decoder) list(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		d.fault(n.Line, path, "want a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		name := fmt.Sprintf("%s[%d]", path, i)
		d.lines[name] = item.Line
		d.value(item, out.Index(i), name)
	}
	v.Set(out)
}

// fieldNames returns the keys of a struct, those of embedded structs included.
func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if f := t.Field(i); f.Anonymous {
			names = append(names, fieldNames(f.Type)...)
		} else {
			names = append(names, f.Name)
		}
	}
	return names
}

func suggestKey(key string, t reflect.Type) string {
	names := fieldNames(t)
	if near := statement.Nearest(key, names); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	slices.Sort(names)
	return "; want one of " + strings.Join(names, ", ")
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func orFile(path string) string {
	if path == "" {
		return "(file)"
	}
	return path
}
