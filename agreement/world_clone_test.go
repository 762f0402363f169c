package agreement

import (
	"reflect"
	sync_ "sync"
	"unsafe"
)

func opened(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

var plain sync_.Map

// shares says that a plain copy of a value owns nothing that the first one would change.
func shares(t reflect.Type) bool {
	if v, ok := plain.Load(t); ok {
		return v.(bool)
	}
	ok := true
	switch t.Kind() {
	case reflect.Struct:
		for i := 0; i < t.NumField(); i++ {
			ok = ok && shares(t.Field(i).Type)
		}
	case reflect.Array:
		ok = shares(t.Elem())
	case reflect.Map, reflect.Slice:
		ok = false
	case reflect.Pointer:
		ok = t.Elem().PkgPath() != ownPackage
	}
	plain.Store(t, ok)
	return ok
}

// dup makes a plain copy own what its first one owns; entries, rosters and frames are never changed and stay shared.
func dup(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := 0; i < v.NumField(); i++ {
			if !shares(v.Type().Field(i).Type) {
				dup(opened(v.Field(i)))
			}
		}
	case reflect.Map:
		if v.IsNil() {
			return
		}
		to := reflect.MakeMapWithSize(v.Type(), v.Len())
		for it := v.MapRange(); it.Next(); {
			e := reflect.New(v.Type().Elem()).Elem()
			e.Set(it.Value())
			dup(e)
			to.SetMapIndex(it.Key(), e)
		}
		v.Set(to)
	case reflect.Slice:
		if v.IsNil() {
			return
		}
		to := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		reflect.Copy(to, v)
		if !shares(v.Type().Elem()) {
			for i := 0; i < to.Len(); i++ {
				dup(to.Index(i))
			}
		}
		v.Set(to)
	case reflect.Pointer:
		if v.IsNil() || shares(v.Type()) {
			return
		}
		to := reflect.New(v.Type().Elem())
		to.Elem().Set(v.Elem())
		dup(to.Elem())
		v.Set(to)
	}
}

func cloneState(s *State) *State {
	out := *s
	dup(reflect.ValueOf(&out).Elem())
	return &out
}
