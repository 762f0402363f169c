package daemon

import (
	"encoding/json"
	"net/http"
	"strings"
)

// WriteJSON writes a value as the JSON answer to a request.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = 500, []byte(`{"error":"answer could not be written"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(body, '\n'))
}

// ErrorResponse is the JSON body of an error.
type ErrorResponse struct {
	Error   string `json:"error"`
	Details any    `json:"faults,omitempty"`
}

// WriteError answers a request with an error.
func WriteError(w http.ResponseWriter, status int, text string, details any) {
	WriteJSON(w, status, ErrorResponse{text, details})
}

// hopByHopHeaders concern one connection and are never copied. Content-Length is set anew.
var hopByHopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Expect": true, "Content-Length": true}

// CopyHeaders copies the end-to-end headers except the given ones, those that Connection lists and the
// gateway's own.
func CopyHeaders(target, source http.Header, except ...string) {
	drop := map[string]bool{}
	for _, v := range source.Values("Connection") {
		for _, k := range strings.Split(v, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(k))] = true
		}
	}
	for _, k := range except {
		drop[http.CanonicalHeaderKey(k)] = true
	}
	for k, v := range source {
		if hopByHopHeaders[k] || drop[k] || strings.HasPrefix(k, "Sloeturn-") {
			continue
		}
		target[k] = append([]string(nil), v...)
	}
}
