package daemon

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"sloeturn/quota"
)

// ErrLineTooLong is returned by LineReader if a line is longer than allowed.
var ErrLineTooLong = merry.Sentinel("daemon: the line is too long")

// LineReader reads a request's body line by line. It claims the memory of a line, and of what it will be
// decoded to, before either is allocated.
type LineReader struct {
	source io.Reader
	claim  *quota.Claim
	limit  int
	// buffer holds what was read and not returned; the last line returned is its first part.
	buffer   []byte
	returned int
	// decoding is what the last line is charged beside its bytes.
	decoding int64
	// err is why the source ended.
	err error
}

// ReadLines returns a reader of the lines of a body, each of a limited length. The caller releases it.
func ReadLines(r *http.Request, limit int) *LineReader {
	claim := TakeClaim(r)
	claim.AllowRevocation(func() { ResetClient(r) })
	return &LineReader{source: r.Body, claim: claim, limit: limit}
}

// Release gives back what the reader has claimed.
func (l *LineReader) Release() { l.claim.Release() }

// Next returns the next line without its end, io.EOF after the last one. The line is valid until the next
// call.
func (l *LineReader) Next() ([]byte, error) {
	l.dropReturned()
	for scanned := 0; ; {
		if at := bytes.IndexByte(l.buffer[scanned:], '\n'); at >= 0 {
			return l.take(scanned+at, 1)
		}
		scanned = len(l.buffer)
		if l.err != nil {
			return l.takeLast()
		}
		if err := l.read(); err != nil {
			return nil, err
		}
	}
}

// dropReturned drops the line that was returned last.
func (l *LineReader) dropReturned() {
	rest := copy(l.buffer, l.buffer[l.returned:])
	l.buffer, l.returned = l.buffer[:rest], 0
	l.claim.Shrink(l.decoding)
	l.decoding = 0
	if size := cap(l.buffer); size > firstBodyBytes && rest <= firstBodyBytes {
		l.buffer = append(make([]byte, 0, firstBodyBytes), l.buffer...)
		l.claim.Shrink(int64(size - firstBodyBytes))
	}
}

// takeLast returns what is left when the source has ended.
func (l *LineReader) takeLast() ([]byte, error) {
	if len(l.buffer) > 0 && errors.Is(l.err, io.EOF) {
		return l.take(len(l.buffer), 0)
	}
	return nil, l.err
}

// take returns a line of a length, behind which an end of some bytes lies.
func (l *LineReader) take(length, end int) ([]byte, error) {
	line := l.buffer[:length]
	if length > l.limit {
		return nil, merry.Wrap(ErrLineTooLong)
	}
	l.decoding = decodingCost(line)
	if !l.claim.Grow(l.decoding, bodyMemoryWait) {
		l.decoding = 0
		return nil, merry.Wrap(ErrNoMemory)
	}
	l.returned = length + end
	return bytes.TrimSuffix(line, []byte{'\r'}), nil
}

// read reads more into the buffer, which doubles when it is full.
func (l *LineReader) read() error {
	if len(l.buffer) > l.limit {
		return merry.Wrap(ErrLineTooLong)
	}
	if len(l.buffer) == cap(l.buffer) {
		size := max(firstBodyBytes, 2*int64(cap(l.buffer)))
		if !l.claim.Grow(size, bodyMemoryWait) {
			return merry.Wrap(ErrNoMemory)
		}
		previous := int64(cap(l.buffer))
		l.buffer = append(make([]byte, 0, size), l.buffer...)
		l.claim.Shrink(previous)
	}
	n, err := l.source.Read(l.buffer[len(l.buffer):cap(l.buffer)])
	l.buffer, l.err = l.buffer[:len(l.buffer)+n], err
	return nil
}
