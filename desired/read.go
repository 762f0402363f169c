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
	ErrRead = merry.Sentinel("desired: not readable as JSON")
)

const DepthLimit = 16
const SizeLimit = 1 << 20

type Fault struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

type reader struct {
	dec    *json.Decoder
	faults []Fault
}

func ReadTree(doc []byte) (any, []Fault) {
	if len(doc) > SizeLimit {
		return nil, []Fault{{"", fmt.Sprintf("is %d bytes; at most %d", len(doc), SizeLimit)}}
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

func (r *reader) value(path string, deep int) (any, error) {
	if deep > DepthLimit {
		return nil, fmt.Errorf("nested deeper than %d", DepthLimit)
	}
	t, err := r.dec.Token()
	if err != nil {
		return nil, err
	}
	d, ok := t.(json.Delim)
	if !ok {
		return t, nil
	}
	if d == '{' {
		m := map[string]any{}
		for r.dec.More() {
			k, err := r.dec.Token()
			if err != nil {
				return nil, err
			}
			s := k.(string)
			at := path + "/" + s
			v, err := r.value(at, deep+1)
			if err != nil {
				return nil, err
			}
			if _, twice := m[s]; twice {
				r.faults = append(r.faults, Fault{at, "named twice"})
			}
			m[s] = v
		}
		_, err = r.dec.Token()
		return m, err
	}
	list := []any{}
	for r.dec.More() {
		v, err := r.value(path+"/"+strconv.Itoa(len(list)), deep+1)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	_, err = r.dec.Token()
	return list, err
}

func Merge(base, patch any) any { return merge(base, patch) }

func merge(base, patch any, path ...string) any {
	p, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	out := map[string]any{}
	if b, ok := base.(map[string]any); ok {
		for k, v := range b {
			out[k] = v
		}
	}
	for k, v := range p {
		if v == nil {
			delete(out, k)
			continue
		}
		at := append(path[:len(path):len(path)], k)
		if len(at) == 3 && at[0] == "routes" && k == "lanes" {
			out[k] = merge(nil, v)
			continue
		}
		out[k] = merge(out[k], v, at...)
	}
	return out
}

func Write(tree any) []byte {
	b, err := json.Marshal(tree)
	if err != nil {
		panic(err)
	}
	return b
}
