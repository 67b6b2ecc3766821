package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"persimmonrock.example/structs"
)

// decoder fills a settings struct from a syntax tree and records the offset of
// each key. It walks the tree itself because encoding/json accepts keys of
// another case and repeated keys, and reports no line numbers.
type decoder struct {
	text    []byte
	offsets map[string]int
	faults  []Fault
}

func newDecoder(text []byte) *decoder {
	return &decoder{text: text, offsets: make(map[string]int)}
}

func (d *decoder) decode(key string, v *hujson.Value, into any) {
	d.value(key, v, reflect.ValueOf(into).Elem())
}

func (d *decoder) value(key string, v *hujson.Value, into reflect.Value) {
	d.offsets[key] = v.StartOffset
	t := into.Type()
	switch {
	case t == reflect.TypeFor[structs.Duration]():
		d.leaf(key, v, into, `a duration with its unit, such as "250ms"`)
	case t.Kind() == reflect.Struct:
		d.object(key, v, into)
	case t.Kind() == reflect.Pointer:
		into.Set(reflect.New(t.Elem()))
		d.value(key, v, into.Elem())
	case t.Kind() == reflect.Slice:
		d.array(key, v, into)
	default:
		d.leaf(key, v, into, wantOf(t))
	}
}

func (d *decoder) object(key string, v *hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(v.StartOffset, key, "want an object with the keys "+strings.Join(keysOf(into.Type()), ", "))
		return
	}
	seen := make(map[string]bool)
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		full := join(key, name)
		field, known := fieldOf(into, name)
		switch {
		case !known:
			d.fault(m.Name.StartOffset, full, "unknown key; want one of "+strings.Join(keysOf(into.Type()), ", "))
		case seen[name]:
			d.fault(m.Name.StartOffset, full, "the key stands here twice; want it once")
		default:
			seen[name] = true
			d.value(full, &m.Value, field)
		}
	}
}

// array accepts null as an empty list, since Go programs encode a nil slice as
// null.
func (d *decoder) array(key string, v *hujson.Value, into reflect.Value) {
	if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		into.SetZero()
		return
	}
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(v.StartOffset, key, "want a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.value(fmt.Sprintf("%s[%d]", key, i), &array.Elements[i], list.Index(i))
	}
	into.Set(list)
}

// leaf decodes a single value. It refuses null, at which encoding/json would
// silently keep the default.
func (d *decoder) leaf(key string, v *hujson.Value, into reflect.Value, want string) {
	given := bytes.TrimSpace(d.text[v.StartOffset:v.EndOffset])
	literal, ok := v.Value.(hujson.Literal)
	if ok && literal.Kind() != 'n' && json.Unmarshal(literal, into.Addr().Interface()) == nil {
		return
	}
	d.fault(v.StartOffset, key, fmt.Sprintf("want %s, got %.40s", want, given))
}

func (d *decoder) fault(offset int, key, want string) {
	line := 1 + bytes.Count(d.text[:offset], []byte("\n"))
	column := offset - bytes.LastIndexByte(d.text[:offset], '\n')
	d.faults = append(d.faults, Fault{Line: line, Column: column, Key: key, Want: want})
}

// check adds the problems that a check returned, except those of keys that
// could not be decoded: the check saw their defaults.
func (d *decoder) check(problems []Problem) {
	undecoded := len(d.faults)
	for _, p := range problems {
		known := slices.ContainsFunc(d.faults[:undecoded], func(f Fault) bool {
			return f.Key == "" || p.Key == f.Key || strings.HasPrefix(p.Key, f.Key+".") || strings.HasPrefix(f.Key, p.Key+"[")
		})
		if !known {
			d.faultAtKey(p.Key, p.Want)
		}
	}
}

// faultAtKey adds a fault at key, or at the nearest enclosing object in the
// file.
func (d *decoder) faultAtKey(key, want string) {
	for at := key; ; {
		offset, ok := d.offsets[at]
		if ok || at == "" {
			d.fault(offset, key, want)
			return
		}
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
	}
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func wantOf(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func fieldOf(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if jsonName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		keys = append(keys, jsonName(t.Field(i)))
	}
	slices.Sort(keys)
	return keys
}
