package settings

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// decoder fills a struct from YAML nodes. Unlike the library's own decoder it continues after
// a fault, so that all faults are reported together.
type decoder struct {
	faults []Fault
	// lines holds the line of each key, for the checks that follow.
	lines map[string]int
	// parsed is set if the text is a YAML document that is not empty.
	parsed bool
}

var durationType = reflect.TypeOf(time.Duration(0))

// fault records a problem at the line of the key or, if the file does not have the key, of its
// nearest enclosing key. Only the first fault of a key and the keys below it is recorded.
func (d *decoder) fault(key, problem, allowed string) {
	for _, f := range d.faults {
		if key == f.Key || strings.HasPrefix(key, f.Key+".") || strings.HasPrefix(key, f.Key+"[") {
			return
		}
	}
	d.faults = append(d.faults, Fault{Line: d.lineOf(key), Key: key, Problem: problem, Allowed: allowed})
}

func (d *decoder) lineOf(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return 0
}

func (d *decoder) document(text []byte, target any) {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		d.faults = append(d.faults, Fault{Line: yamlLine(err), Key: "document", Problem: err.Error(), Allowed: "YAML"})
		return
	}
	if len(root.Content) == 0 {
		d.fault("document", "empty", "settings as in docs/operators.md")
		return
	}
	d.parsed = true
	d.value("", root.Content[0], reflect.ValueOf(target).Elem())
}

func (d *decoder) value(key string, n *yaml.Node, v reflect.Value) {
	if key != "" {
		d.lines[key] = n.Line
	}
	switch {
	case v.Type() == durationType:
		d.duration(key, n, v)
	case v.Kind() == reflect.Struct:
		d.mapping(key, n, v)
	case v.Kind() == reflect.Slice:
		d.sequence(key, n, v)
	case v.Kind() == reflect.Int:
		d.integer(key, n, v)
	case v.Kind() == reflect.Float64:
		d.float(key, n, v)
	case v.Kind() == reflect.Bool:
		d.boolean(key, n, v)
	default:
		d.text(key, n, v)
	}
}

func (d *decoder) mapping(key string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.fault(key, "not a mapping", "keys and values")
		return
	}
	fields := fieldsByKey(v.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		name := n.Content[i].Value
		path := join(key, name)
		d.lines[path] = n.Content[i].Line
		index, known := fields[name]
		if !known {
			d.fault(path, "unknown key", strings.Join(sortedKeys(fields), ", "))
			continue
		}
		if seen[name] {
			d.fault(path, "stands twice", "each key once")
			continue
		}
		seen[name] = true
		d.value(path, n.Content[i+1], v.Field(index))
	}
	for _, name := range sortedKeys(fields) {
		if v.Type().Field(fields[name]).Tag.Get("required") != "" && !seen[name] {
			d.fault(join(key, name), "missing", "this key is needed")
		}
	}
}

func (d *decoder) sequence(key string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.fault(key, "not a list", "a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, c := range n.Content {
		d.value(fmt.Sprintf("%s[%d]", key, i), c, list.Index(i))
	}
	v.Set(list)
}

func (d *decoder) duration(key string, n *yaml.Node, v reflect.Value) {
	parsed, err := time.ParseDuration(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil {
		d.fault(key, fmt.Sprintf("%q", n.Value), "a duration such as 500ms or 5s")
		return
	}
	v.SetInt(int64(parsed))
}

func (d *decoder) integer(key string, n *yaml.Node, v reflect.Value) {
	parsed, err := strconv.ParseInt(n.Value, 10, 64)
	if n.Kind != yaml.ScalarNode || err != nil {
		d.fault(key, fmt.Sprintf("%q", n.Value), "a whole number")
		return
	}
	v.SetInt(parsed)
}

func (d *decoder) float(key string, n *yaml.Node, v reflect.Value) {
	parsed, err := strconv.ParseFloat(n.Value, 64)
	if n.Kind != yaml.ScalarNode || err != nil {
		d.fault(key, fmt.Sprintf("%q", n.Value), "a number")
		return
	}
	v.SetFloat(parsed)
}

func (d *decoder) boolean(key string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.ScalarNode || n.Value != "true" && n.Value != "false" {
		d.fault(key, fmt.Sprintf("%q", n.Value), "true or false")
		return
	}
	v.SetBool(n.Value == "true")
}

func (d *decoder) text(key string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.fault(key, "not a single value", "text")
		return
	}
	v.SetString(n.Value)
}

func fieldsByKey(t reflect.Type) map[string]int {
	m := map[string]int{}
	for i := range t.NumField() {
		m[t.Field(i).Tag.Get("yaml")] = i
	}
	return m
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// yamlLine returns the line number that the parser's error message contains, 0 if there is
// none.
func yamlLine(err error) int {
	_, rest, found := strings.Cut(err.Error(), "line ")
	if !found {
		return 0
	}
	line, _ := strconv.Atoi(strings.TrimRight(strings.SplitN(rest, ":", 2)[0], " "))
	return line
}
