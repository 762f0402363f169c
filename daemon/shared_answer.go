package daemon

import (
	"encoding/json"
	"net/http"
)

// sharedAnswer is a body that many callers are given, or why there is none.
type sharedAnswer struct {
	body []byte
	err  error
}

// SharedAnswer returns a handler whose answer is made once for all callers that ask at the same time, so that
// a crowd of them doesn't make the process make and hold it once for each. Without an answer it is 503.
func SharedAnswer(contentType string, read func() ([]byte, error)) http.HandlerFunc {
	shared := &SharedRead[sharedAnswer]{Read: func() sharedAnswer {
		body, err := read()
		return sharedAnswer{body, err}
	}}
	return func(w http.ResponseWriter, r *http.Request) {
		answer, ok := shared.Get(r.Context())
		if !ok {
			return
		}
		if answer.err != nil {
			WriteError(w, http.StatusServiceUnavailable, answer.err.Error(), nil)
			return
		}
		w.Header().Set("Content-Type", contentType)
		w.Write(answer.body)
	}
}

// SharedJSON is SharedAnswer for a value that is written as JSON.
func SharedJSON(read func() (any, error)) http.HandlerFunc {
	return SharedAnswer("application/json", func() ([]byte, error) {
		value, err := read()
		if err != nil {
			return nil, err
		}
		body, err := json.Marshal(value)
		return append(body, '\n'), err
	})
}
