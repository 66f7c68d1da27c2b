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

// Fault is an error in a settings file.
type Fault struct {
	File string
	// Line is the line number, starting at 1, or 0 if the error has no line, such as a missing key.
	Line int
	// Key is the path of the key, e.g. Upstream.MaxConcurrent, or "(file)" for the whole file.
	Key     string
	Message string
}

// Error returns the fault as "file:line: key: message".
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Message)
}

// Faults are all errors found in a settings file.
type Faults []Fault

// Error returns the faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// decoder decodes YAML into a struct and collects all faults instead of stopping at the first one.
type decoder struct {
	file string
	// lines maps the path of each key in the file to its line.
	lines  map[string]int
	faults Faults
}

func (d *decoder) addFault(line int, key, format string, args ...any) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// decode decodes data into out, a pointer to a struct. Keys that are missing in data keep their values in out.
func (d *decoder) decode(data []byte, out any) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		d.addFault(0, "(file)", "invalid YAML: %v", err)
		return
	}
	if len(root.Content) == 0 {
		return
	}
	d.decodeStruct(root.Content[0], reflect.ValueOf(out).Elem(), "")
}

// decodeStruct decodes a mapping into the struct v. Unknown and duplicate keys are faults.
func (d *decoder) decodeStruct(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.addFault(n.Line, pathOrFile(path), "must be a mapping of keys to values")
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		name := joinPath(path, key.Value)
		if first, ok := seen[key.Value]; ok {
			d.addFault(key.Line, name, "duplicate key, first set on line %d", first)
			continue
		}
		seen[key.Value] = key.Line
		if !slices.Contains(fieldNames(v.Type()), key.Value) {
			d.addFault(key.Line, name, "unknown key%s", suggestKey(key.Value, v.Type()))
			continue
		}
		field := v.FieldByName(key.Value)
		d.lines[name] = key.Line
		d.decodeValue(value, field, name)
	}
}

func (d *decoder) decodeValue(n *yaml.Node, v reflect.Value, path string) {
	switch v.Interface().(type) {
	case Duration:
		parsed, err := time.ParseDuration(n.Value)
		if err != nil {
			d.addFault(n.Line, path, "%q: must be a duration with a unit, e.g. 500ms, 2s or 10m", n.Value)
			return
		}
		v.SetInt(int64(parsed))
		return
	case Bytes:
		parsed, err := ParseBytes(n.Value)
		if err != nil {
			d.addFault(n.Line, path, "%v", err)
			return
		}
		v.SetInt(int64(parsed))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, path)
	case reflect.Slice:
		d.decodeList(n, v, path)
	case reflect.String:
		if n.Kind != yaml.ScalarNode {
			d.addFault(n.Line, path, "must be a string")
			return
		}
		v.SetString(n.Value)
	case reflect.Int:
		d.decodeScalar(n, v, path, "an integer")
	case reflect.Float64:
		d.decodeScalar(n, v, path, "a number")
	case reflect.Bool:
		d.decodeScalar(n, v, path, "true or false")
	}
}

func (d *decoder) decodeScalar(n *yaml.Node, v reflect.Value, path, expected string) {
	if err := n.Decode(v.Addr().Interface()); err != nil {
		d.addFault(n.Line, path, "%q: must be %s", n.Value, expected)
	}
}

func (d *decoder) decodeList(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		d.addFault(n.Line, path, "must be a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		name := fmt.Sprintf("%s[%d]", path, i)
		d.lines[name] = item.Line
		d.decodeValue(item, out.Index(i), name)
	}
	v.Set(out)
}

// fieldNames returns the YAML keys of a struct: the names of its fields, including those of embedded structs.
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

// suggestKey returns the end of the message about an unknown key: the most similar valid key or, if none is similar,
// all valid keys.
func suggestKey(key string, t reflect.Type) string {
	names := fieldNames(t)
	if near := statement.Nearest(key, names); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	slices.Sort(names)
	return "; valid keys are " + strings.Join(names, ", ")
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func pathOrFile(path string) string {
	if path == "" {
		return "(file)"
	}
	return path
}
