package data

import (
	"bytes"
	"errors"
	"io"
	"time"

	"sloeturn/ident"
	"sloeturn/quota"
)

const (
	// minPieceBytes and maxPieceBytes bound the pieces in which a payload of unknown length is read.
	minPieceBytes = 4 << 10
	maxPieceBytes = 64 << 10
	// longPayloadBytes is the size from which a payload is read with a longer buffer in the kernel, of
	// longPayloadFactor times as much.
	longPayloadBytes  = 32 << 10
	longPayloadFactor = 8
	// maxBodyMemoryWait and maxAnswerMemoryWait are how long a request's body, or an answer, waits for
	// memory.
	maxBodyMemoryWait   = 100 * time.Millisecond
	maxAnswerMemoryWait = time.Second
)

var (
	errNoMemory = errors.New("no memory for it")
	errTooLong  = errors.New("longer than allowed")
)

// payload is the body of a request or an answer, in pieces that a claim covers.
type payload struct {
	pieces [][]byte
	size   int64
	// claimed is what the claim grew by for it.
	claimed int64
}

// release gives back the memory of a payload that nothing refers to any more.
func (p payload) release(claim *quota.Claim) { claim.Shrink(p.claimed) }

// payloadReader reads payloads whose memory it claims first.
type payloadReader struct {
	claim *quota.Claim
	// limit is the longest payload in bytes, wait how long to wait for memory.
	limit int64
	wait  time.Duration
	// hold, if not 0, is how many bytes are read at most; the rest stays in the source.
	hold int64
}

// readWhole reads a payload whose length is known. All of its memory is claimed at once, so that payloads
// that are read together don't wait for each other half read.
func (p payloadReader) readWhole(source io.Reader, length int64) (payload, error) {
	if length > p.limit {
		return payload{}, errTooLong
	}
	if !p.claim.Grow(length, p.wait) {
		return payload{}, errNoMemory
	}
	whole := make([]byte, length)
	if _, err := io.ReadFull(source, whole); err != nil {
		p.claim.Shrink(length)
		return payload{}, err
	}
	return payload{[][]byte{whole}, length, length}, nil
}

// readPieces reads a payload until its end, or as much as is held, and claims memory as its bytes arrive.
// length is -1 if it is not known. ended reports whether the payload was read to its end.
func (p payloadReader) readPieces(source io.Reader, length int64) (body payload, ended bool, err error) {
	deadline := ident.Now().Add(p.wait)
	next := int64(minPieceBytes)
	for {
		if length >= 0 {
			next = min(length-body.size, maxPieceBytes)
		}
		if p.hold > 0 {
			next = min(next, p.hold-body.size)
		}
		if !p.claim.Grow(next, deadline.Sub(ident.Now())) {
			body.release(p.claim)
			return payload{}, false, errNoMemory
		}
		body.claimed += next
		piece := make([]byte, next)
		count, err := fill(source, piece)
		if count > 0 {
			body.pieces = append(body.pieces, piece[:count])
			body.size += int64(count)
		}
		switch {
		case body.size > p.limit:
			err = errTooLong
		case errors.Is(err, io.EOF), err == nil && body.size == length:
			return body, true, nil
		}
		if err != nil {
			body.release(p.claim)
			return payload{}, false, err
		}
		if p.hold > 0 && body.size >= p.hold {
			return body, false, nil
		}
		next = min(2*next, maxPieceBytes)
	}
}

// raisingReader lets the kernel hold more of a payload once it turns out to be long.
type raisingReader struct {
	io.Reader
	// raise lets the kernel hold so many bytes, and returns the function that undoes it.
	raise func(bytes int64) (lower func())
	read  int64
	lower func()
}

func (r *raisingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if r.read += int64(n); r.read > longPayloadBytes && r.lower == nil {
		r.lower = r.raise(longPayloadBytes * longPayloadFactor)
	}
	return n, err
}

// settle undoes what a long payload has raised.
func (r *raisingReader) settle() {
	if r.lower != nil {
		r.lower()
	}
}

// fill reads until the piece is full or the source fails or ends.
func fill(source io.Reader, piece []byte) (count int, err error) {
	for count < len(piece) && err == nil {
		n := 0
		n, err = source.Read(piece[count:])
		count += n
	}
	return count, err
}

// reader returns a reader of the payload.
func (p payload) reader() io.Reader {
	readers := make([]io.Reader, len(p.pieces))
	for i, piece := range p.pieces {
		readers[i] = bytes.NewReader(piece)
	}
	return io.MultiReader(readers...)
}

// joined returns the payload in one piece, which is claimed too if it must be made.
func (p payload) joined(claim *quota.Claim) ([]byte, bool) {
	switch len(p.pieces) {
	case 0:
		return nil, true
	case 1:
		return p.pieces[0], true
	}
	if !claim.Grow(p.size, 0) {
		return nil, false
	}
	defer claim.Shrink(p.size)
	return bytes.Join(p.pieces, nil), true
}

// writeTo writes all pieces.
func (p payload) writeTo(w io.Writer) (written int, err error) {
	for _, piece := range p.pieces {
		n, err := w.Write(piece)
		if written += n; err != nil {
			return written, err
		}
	}
	return written, nil
}
