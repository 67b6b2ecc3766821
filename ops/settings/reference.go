package settings

import (
	"encoding/json"
	"reflect"

	"persimmonrock.example/structs"
)

// Key is one key of a settings file in the reference.
type Key struct {
	// Path is the dotted path of the key.
	Path string
	// Default is the JSON text of the value that applies when the key is left
	// out, or "" if the key is required or has no default.
	Default string
	// Type and Field name the Go field whose comment documents the key.
	Type  string
	Field string
}

// Keys lists every key of a settings struct that holds the defaults, in the
// order of declaration.
func Keys(defaults any) []Key {
	return appendKeys(nil, "", reflect.ValueOf(defaults))
}

func appendKeys(out []Key, prefix string, v reflect.Value) []Key {
	t := v.Type()
	for i := range t.NumField() {
		field := t.Field(i)
		path := join(prefix, jsonName(field))
		value := v.Field(i)
		if field.Type.Kind() == reflect.Pointer {
			value = reflect.New(field.Type.Elem()).Elem()
		}
		if value.Kind() == reflect.Struct {
			out = appendKeys(out, path, value)
			continue
		}
		out = append(out, Key{Path: path, Default: defaultText(value), Type: t.Name(), Field: field.Name})
	}
	return out
}

func defaultText(v reflect.Value) string {
	if v.IsZero() && v.Type() != reflect.TypeFor[structs.Duration]() {
		return ""
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return ""
	}
	return string(text)
}
