package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Encode returns v, a settings struct, as YAML with the keys in the order of the fields. It returns an error if a field
// has an unsupported type.
func Encode(v any) (string, error) {
	var b strings.Builder
	if err := encodeStruct(&b, reflect.ValueOf(v), ""); err != nil {
		return "", err
	}
	return b.String(), nil
}

func encodeStruct(b *strings.Builder, v reflect.Value, indent string) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			if err := encodeStruct(b, v.Field(i), indent); err != nil {
				return err
			}
			continue
		}
		if err := encodeField(b, field.Name, v.Field(i), indent); err != nil {
			return err
		}
	}
	return nil
}

func encodeField(b *strings.Builder, name string, v reflect.Value, indent string) error {
	switch value := v.Interface().(type) {
	case Duration, Bytes:
		fmt.Fprintf(b, "%s%s: %v\n", indent, name, value)
		return nil
	}
	switch v.Kind() {
	case reflect.Struct:
		fmt.Fprintf(b, "%s%s:\n", indent, name)
		return encodeStruct(b, v, indent+"  ")
	case reflect.Slice:
		if v.Len() == 0 {
			fmt.Fprintf(b, "%s%s: []\n", indent, name)
			return nil
		}
		fmt.Fprintf(b, "%s%s:\n", indent, name)
		for i := range v.Len() {
			fmt.Fprintf(b, "%s  - %q\n", indent, v.Index(i).String())
		}
		return nil
	case reflect.String:
		fmt.Fprintf(b, "%s%s: %q\n", indent, name, v.String())
		return nil
	case reflect.Int, reflect.Float64, reflect.Bool:
		fmt.Fprintf(b, "%s%s: %v\n", indent, name, v.Interface())
		return nil
	}
	return fmt.Errorf("encode settings key %s: unsupported type", name)
}
