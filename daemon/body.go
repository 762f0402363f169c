package daemon

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"sloeturn/quota"
)

const (
	// bodyReadTimeout is how long a caller of the control plane may take to send a body, and
	// bodyMemoryWait how long the body waits for memory.
	bodyReadTimeout = 15 * time.Second
	bodyMemoryWait  = time.Second
	// firstBodyBytes is how much of a body is read before more memory is claimed for it.
	firstBodyBytes = 4 << 10
	// jsonByteCost and jsonTokenCost are what the bytes and the values of a JSON text take in memory once
	// it is decoded, checked and written anew.
	jsonByteCost  = 4
	jsonTokenCost = 160
)

var (
	// ErrNoMemory is returned by ReadJSONBody if there is no memory for the body or for what it decodes to.
	ErrNoMemory = merry.Sentinel("daemon: no memory for the body")
	// ErrBodyTimeout is returned by ReadJSONBody if the body takes too long to come.
	ErrBodyTimeout = merry.Sentinel("daemon: the body takes too long")
)

// ReadJSONBody reads a request's JSON body of a limited size. It claims the memory of the body, and of what
// it will be decoded to, before either is allocated; the caller releases it once the request is served.
func ReadJSONBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), err error) {
	claim := TakeClaim(r)
	claim.AllowRevocation(func() { ResetClient(r) })
	body, err = readClaimedBody(w, r, limit, claim)
	claim.ForbidRevocation()
	if err == nil {
		err = claimDecoding(body, claim)
	}
	if err != nil {
		claim.Release()
		return nil, func() {}, err
	}
	return body, claim.Release, nil
}

// readClaimedBody reads the body into a buffer that doubles, each time after its memory was claimed.
func readClaimedBody(w http.ResponseWriter, r *http.Request, limit int64, claim *quota.Claim) ([]byte, error) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	source := http.MaxBytesReader(w, r.Body, limit)
	body := []byte{}
	for {
		if len(body) == cap(body) {
			size := min(max(firstBodyBytes, 2*int64(cap(body))), limit+1)
			if !claim.Grow(size, bodyMemoryWait) {
				return nil, merry.Wrap(ErrNoMemory)
			}
			previous := int64(cap(body))
			body = append(make([]byte, 0, size), body...)
			claim.Shrink(previous)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			http.NewResponseController(w).SetReadDeadline(time.Time{})
			return body, nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, merry.Wrap(ErrBodyTimeout, merry.WithCause(err))
		}
		if err != nil {
			return nil, err
		}
	}
}

// ClaimDecoding claims the memory of what a JSON text decodes to, for a request that needs it beside its
// body; the caller releases it.
func ClaimDecoding(r *http.Request, text []byte) (release func(), err error) {
	c := connectionOf(r)
	if c == nil {
		return func() {}, nil
	}
	claim := c.options.Memory.NewClaim()
	return claim.Release, claimDecoding(text, claim)
}

func claimDecoding(body []byte, claim *quota.Claim) error {
	if !claim.Grow(decodingCost(body), bodyMemoryWait) {
		return merry.Wrap(ErrNoMemory)
	}
	return nil
}

// decodingCost returns what a JSON text takes in memory once it is decoded, checked and written anew.
func decodingCost(text []byte) int64 {
	tokens := int64(0)
	for _, b := range text {
		if b == ',' || b == ':' || b == '[' || b == '{' {
			tokens++
		}
	}
	return int64(len(text))*jsonByteCost + tokens*jsonTokenCost
}

// RefuseUnreadBody answers a request whose body was not read for a reason that is no fault of the body, so
// that its caller sends it again. It returns false for any other error.
func RefuseUnreadBody(w http.ResponseWriter, err error) bool {
	status := 0
	switch {
	case errors.Is(err, ErrNoMemory):
		status = http.StatusServiceUnavailable
	case errors.Is(err, ErrBodyTimeout):
		status = http.StatusRequestTimeout
	default:
		return false
	}
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Connection", "close")
	WriteError(w, status, err.Error(), nil)
	return true
}
