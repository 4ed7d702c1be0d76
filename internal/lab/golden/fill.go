package golden

import (
	"fmt"
	"reflect"
	"strconv"
	"testing"
)

// Fill recursively sets every exported field of the value that v points to. Each field gets a nonzero
// value that no other field has, except that all booleans are true. The values depend only on the order
// of the fields. It fails the test if v contains a type that it can't fill or a type that contains itself.
func Fill(t testing.TB, v any) {
	t.Helper()
	p := reflect.ValueOf(v)
	p.Elem().Set(filled(t, p.Type().Elem()))
}

// filled returns a new value of a type, filled as by Fill.
func filled(t testing.TB, typ reflect.Type) reflect.Value {
	t.Helper()
	v := reflect.New(typ).Elem()
	if err := new(filler).fill(v, 0); err != nil {
		t.Fatalf("%v: %v", typ, err)
	}
	return v
}

// maxDepth bounds the recursion into types that contain themselves.
const maxDepth = 12

// filler fills values. It derives each value from a count of the values set so far, so that all differ.
type filler struct{ count int }

// fill sets v. depth is the number of values that v is nested in.
func (f *filler) fill(v reflect.Value, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("%v is nested more than %d deep", v.Type(), maxDepth)
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return f.fill(v.Elem(), depth+1)
	case reflect.Struct:
		return f.fillStruct(v, depth)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		return f.fill(v.Index(0), depth+1)
	case reflect.Map:
		return f.fillMap(v, depth)
	}
	return f.fillScalar(v)
}

// fillStruct sets the exported fields of a struct that are part of its JSON form.
func (f *filler) fillStruct(v reflect.Value, depth int) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() || field.Tag.Get("json") == "-" {
			continue
		}
		if err := f.fill(v.Field(i), depth+1); err != nil {
			return fmt.Errorf("%s: %w", field.Name, err)
		}
	}
	return nil
}

// fillMap sets a map to a new map with one entry.
func (f *filler) fillMap(v reflect.Value, depth int) error {
	key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	if err := f.fill(key, depth+1); err != nil {
		return err
	}
	if err := f.fill(value, depth+1); err != nil {
		return err
	}
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
	return nil
}

// fillScalar sets a value that contains no other values.
func (f *filler) fillScalar(v reflect.Value) error {
	f.count++
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString("text-" + strconv.Itoa(f.count))
	case v.CanInt():
		v.SetInt(int64(f.count))
	case v.CanUint():
		v.SetUint(uint64(f.count))
	case v.CanFloat():
		v.SetFloat(float64(f.count) + 0.5)
	default:
		return fmt.Errorf("no value for kind %v", v.Kind())
	}
	return nil
}
