package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// The parser of net/http accepts heads that RFC 9110 and 9112 do not allow, such as
// names with a blank, and reads as much from them as it can. A head from a server in
// trouble must not be repaired: its framing may be that of no or of another response.
// So each head is checked before it is parsed.

// brokenHead returns the error of a head that is no response.
func brokenHead(fault string) error { return fmt.Errorf("%w: %s", ErrMalformedResponse, fault) }

// responseHead is the state of the check of a response head, of which more and more
// lines arrive.
type responseHead struct {
	size      int // bytes of the checked lines
	scanned   int // bytes that have been searched for the end of a line
	framing   framing
	minor     byte // of the version, HTTP/1.minor, as a digit
	bodyless  bool // the status has no body
	hasStatus bool
}

// check checks the lines of a head that have arrived. It reports whether the head is
// complete.
func (h *responseHead) check(arrived []byte) (complete bool, err error) {
	for {
		n := bytes.IndexByte(arrived[h.scanned:], '\n')
		if n < 0 {
			h.scanned = len(arrived)
			return false, h.checkStart(arrived)
		}
		line, ok := bytes.CutSuffix(arrived[h.size:h.scanned+n], carriageReturn)
		h.scanned += n + 1
		h.size = h.scanned
		if !ok {
			return false, brokenHead("line without a carriage return")
		}
		if !h.hasStatus {
			err = h.checkStatus(line)
			h.hasStatus = true
		} else if len(line) > 0 {
			err = h.checkField(line)
		} else {
			return true, h.checkFraming()
		}
		if err != nil {
			return false, err
		}
	}
}

const (
	versionPrefix = "HTTP/1."
	statusOffset  = len(versionPrefix) + len("1 ")
	statusDigits  = 3
)

var carriageReturn = []byte("\r")

// checkStart checks the first bytes of a status line whose end has not arrived. Bytes
// that are no response may have no line end at all.
func (h *responseHead) checkStart(arrived []byte) error {
	n := min(len(arrived), len(versionPrefix))
	if !h.hasStatus && string(arrived[:n]) != versionPrefix[:n] {
		return brokenHead("malformed status line")
	}
	return nil
}

// checkStatus checks the status line. A status below 100 would be taken for that of an
// interim response, and one above 599 has no class (RFC 9110, section 15). Servers may leave out the blank before an empty reason phrase.
func (h *responseHead) checkStatus(line []byte) error {
	end := statusOffset + statusDigits
	if len(line) < end || string(line[:len(versionPrefix)]) != versionPrefix || line[statusOffset-1] != ' ' {
		return brokenHead("malformed status line")
	}
	h.minor = line[len(versionPrefix)]
	status := line[statusOffset:end]
	if !isDigit(h.minor) || len(line) > end && line[end] != ' ' || !allIn(line[end:], &isText) {
		return brokenHead("malformed status line")
	}
	if !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) || status[0] < '1' || status[0] > '5' {
		return brokenHead("malformed status code")
	}
	h.bodyless = status[0] == '1' || string(status) == "204"
	if string(status) == "101" {
		return brokenHead("switch of protocols that was not requested")
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func (h *responseHead) checkField(line []byte) error {
	name, value, fault := checkField(line)
	if fault != "" {
		return brokenHead(fault)
	}
	h.framing.add(name, value)
	return nil
}

func (h *responseHead) checkFraming() error {
	switch fault := h.framing.fault(); {
	case fault != "":
		return brokenHead(fault)
	case h.minor == '0' && h.framing.encodings > 0:
		return brokenHead("Transfer-Encoding in HTTP/1.0")
	case h.bodyless && h.framing.announcesBody():
		return brokenHead("status without a body announces one")
	}
	return nil
}

// awaitHead waits until a response head has arrived and checks it. It consumes
// nothing. A head that is no response is rejected as soon as that shows.
func (c *clientConn) awaitHead() error {
	var head responseHead
	for need := 1; ; {
		if need > c.br.Size() {
			c.enlargeReader()
		}
		if _, err := c.br.Peek(need); err != nil {
			if errors.Is(err, io.EOF) && c.br.Buffered() > 0 {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		arrived, _ := c.br.Peek(c.br.Buffered())
		complete, err := head.check(arrived)
		if complete || err != nil {
			return err
		}
		need = len(arrived) + 1
	}
}

// enlargeReader replaces the read buffer by one of twice the size that holds the same
// bytes.
func (c *clientConn) enlargeReader() {
	arrived, _ := c.br.Peek(c.br.Buffered())
	size := 2 * c.br.Size()
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(arrived)), c.input)
	c.releaseReader()
	c.br = bufio.NewReaderSize(rest, size)
}

// readResponse reads the head of a response and returns the response with a body that
// fails unless it arrives completely.
func (c *clientConn) readResponse(method string) (*http.Response, error) {
	if err := c.awaitHead(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	switch {
	case response.Body == http.NoBody:
	case len(response.TransferEncoding) > 0:
		response.Body = newChunkedBody(c.br)
	case response.ContentLength < 0:
		response.Body = &closeDelimitedBody{r: c.br, writer: c.writer}
	}
	return response, nil
}
