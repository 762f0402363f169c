package desired

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
)

var (
	ErrNotJSON = merry.Sentinel("desired: not readable as JSON")
)

// MaxDepth is how deep a configuration may be nested.
const MaxDepth = 16

// MaxBytes is the largest size of a configuration in bytes.
const MaxBytes = 1 << 20

// MaxFaults is how many faults of a document are reported at most.
const MaxFaults = 1000

// Fault is an error in a configuration or in the settings, at a JSON pointer or the name of a setting.
type Fault struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// reader decodes JSON and reports keys that occur twice in an object.
type reader struct {
	dec    *json.Decoder
	faults []Fault
}

// ReadTree parses JSON into maps, lists and json.Number values. It rejects duplicate keys, text after
// the end, and documents that are too large or too deep.
func ReadTree(doc []byte) (any, []Fault) {
	if len(doc) > MaxBytes {
		return nil, []Fault{{"", fmt.Sprintf("is %d bytes; at most %d", len(doc), MaxBytes)}}
	}
	r := &reader{dec: json.NewDecoder(bytes.NewReader(doc))}
	r.dec.UseNumber()
	v, err := r.value("", 0)
	if err == nil {
		if _, more := r.dec.Token(); more != io.EOF {
			err = fmt.Errorf("text after the end")
		}
	}
	if err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		r.faults = append(r.faults, Fault{"", fmt.Sprintf("not JSON: %v, near byte %d", err, r.dec.InputOffset())})
	}
	return v, r.faults
}

func (r *reader) value(path string, depth int) (any, error) {
	if depth > MaxDepth {
		return nil, fmt.Errorf("nested deeper than %d", MaxDepth)
	}
	token, err := r.dec.Token()
	if err != nil {
		return nil, err
	}
	delimiter, ok := token.(json.Delim)
	if !ok {
		return token, nil
	}
	if delimiter == '{' {
		object := map[string]any{}
		for r.dec.More() {
			name, err := r.dec.Token()
			if err != nil {
				return nil, err
			}
			key := name.(string)
			at := path + "/" + key
			v, err := r.value(at, depth+1)
			if err != nil {
				return nil, err
			}
			if _, duplicate := object[key]; duplicate {
				if len(r.faults) < MaxFaults {
					r.faults = append(r.faults, Fault{at, "named twice"})
				}
			}
			object[key] = v
		}
		_, err = r.dec.Token()
		return object, err
	}
	list := []any{}
	for r.dec.More() {
		v, err := r.value(path+"/"+strconv.Itoa(len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	_, err = r.dec.Token()
	return list, err
}

// Merge applies a JSON merge patch (RFC 7396) and leaves base unchanged. Unlike in the RFC, the lanes of
// a route are replaced as a whole, since their weights belong together.
func Merge(base, patch any) any { return merge(base, patch) }

// merge carries the path of keys from the root, by which it finds the lanes of a route.
func merge(base, patch any, path ...string) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	merged := map[string]any{}
	if b, ok := base.(map[string]any); ok {
		for k, v := range b {
			merged[k] = v
		}
	}
	for k, v := range changes {
		if v == nil {
			delete(merged, k)
			continue
		}
		at := append(path[:len(path):len(path)], k)
		if len(at) == 3 && at[0] == "routes" && k == "lanes" {
			merged[k] = merge(nil, v)
			continue
		}
		merged[k] = merge(merged[k], v, at...)
	}
	return merged
}

// Write returns the JSON text of a tree, with sorted keys.
func Write(tree any) []byte {
	encoded, err := json.Marshal(tree)
	if err != nil {
		panic(err)
	}
	return encoded
}
