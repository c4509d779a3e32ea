package http1

import (
	"errors"
	"fmt"
	"io"
)

const (
	// maxDiscarded bounds the bytes of response bodies to other requests that
	// are discarded in search of the response to a request, and maxUnmatched the
	// number of such responses.
	maxDiscarded = 1 << 20
	maxUnmatched = 4
)

// ErrMalformedResponse reports bytes from a server that are not a response, or a
// response head or a run of unmatched responses without end. The server may have
// run the request.
var ErrMalformedResponse = errors.New("malformed response")

var errHeadTooLarge = fmt.Errorf("%w: the head has no end", ErrMalformedResponse)

// limitedReader bounds the bytes that may be read while a head is parsed, which
// the parser itself does not. A server may send a head without end.
type limitedReader struct {
	r       io.Reader
	limited bool
	left    int // bytes that may still be read if limited is set
}

// limit allows n more bytes until unlimit is called.
func (l *limitedReader) limit(n int) { l.limited, l.left = true, n }

func (l *limitedReader) unlimit() { l.limited = false }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
