package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// headError reports a request head that is rejected with a status code.
type headError struct {
	status int
	detail string
}

func (e *headError) Error() string { return fmt.Sprintf("%d: %s", e.status, e.detail) }

var headEnd = []byte("\r\n\r\n")

// readHead reads a request head of at most limit bytes. Heads that another
// parser might interpret differently (request smuggling) are rejected.
func readHead(br *bufio.Reader, limit int) (*http.Request, error) {
	head, err := peekHead(br, limit)
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	req, err := http.ReadRequest(br)
	if err != nil {
		return nil, &headError{http.StatusBadRequest, err.Error()}
	}
	return req, nil
}

// peekHead returns the bytes of the head without consuming them.
func peekHead(br *bufio.Reader, limit int) ([]byte, error) {
	for need := 1; ; {
		if _, err := br.Peek(need); err != nil {
			if errors.Is(err, io.EOF) && br.Buffered() > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		seen, _ := br.Peek(br.Buffered())
		if i := bytes.Index(seen, headEnd); i >= 0 {
			if i+len(headEnd) > limit {
				break
			}
			return seen[:i+len(headEnd)], nil
		}
		if len(seen) >= min(limit, br.Size()) {
			break
		}
		need = len(seen) + 1
	}
	return nil, &headError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("head exceeds %d bytes", limit)}
}

var lineEnd = []byte("\r\n")

// checkHead rejects heads that another parser might interpret differently: fields that
// are not a token and a value without control characters, and more than one
// Content-Length or Transfer-Encoding header in total.
func checkHead(head []byte) error {
	var f framing
	lines := bytes.Split(head[:len(head)-len(headEnd)], lineEnd)
	if !allIn(lines[0], &isText) {
		return &headError{http.StatusBadRequest, "control character in the request line"}
	}
	for _, line := range lines[1:] {
		name, value, fault := checkField(line)
		if fault != "" {
			return &headError{http.StatusBadRequest, fault}
		}
		f.add(name, value)
	}
	if fault := f.fault(); fault != "" {
		return &headError{http.StatusBadRequest, fault}
	}
	return nil
}
