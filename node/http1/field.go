package http1

import "bytes"

// isToken tells which bytes the name of a field may have, and isText which bytes its
// value and a reason phrase may have (RFC 9110, sections 5.5 and 5.6.2).
var isToken, isText = tokenBytes(), textBytes()

func tokenBytes() (set [256]bool) {
	for c := '0'; c <= '9'; c++ {
		set[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		set[c], set[c-'a'+'A'] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		set[c] = true
	}
	return set
}

func textBytes() (set [256]bool) {
	for c := range set {
		set[c] = c >= ' ' && c != 0x7f || c == '\t'
	}
	return set
}

// allIn reports whether all bytes of text are in a set.
func allIn(text []byte, set *[256]bool) bool {
	for _, c := range text {
		if !set[c] {
			return false
		}
	}
	return true
}

// checkField checks a line of a head or of a trailer section, without its line end. It
// returns the name and the value, and what is wrong with them; empty if nothing is.
func checkField(line []byte) (name, value []byte, fault string) {
	if len(line) > 0 && isWhitespace(line[0]) {
		return nil, nil, "folded header line"
	}
	colon := bytes.IndexByte(line, ':')
	switch {
	case colon < 0:
		return nil, nil, "header line without a colon"
	case colon == 0:
		return nil, nil, "header line without a name"
	case !allIn(line[:colon], &isToken):
		return nil, nil, "header name is not a token"
	case !allIn(line[colon+1:], &isText):
		return nil, nil, "control character in a header value"
	}
	return line[:colon], line[colon+1:], ""
}

func isWhitespace(c byte) bool { return c == ' ' || c == '\t' }

var (
	lengthKey   = []byte("content-length")
	encodingKey = []byte("transfer-encoding")
)

// framing collects what the fields of a head say about the length of the body.
type framing struct {
	lengths, encodings int  // fields of that name
	notEmpty           bool // the last Content-Length is not 0
}

func (f *framing) add(name, value []byte) {
	switch {
	case bytes.EqualFold(name, lengthKey):
		f.lengths++
		f.notEmpty = string(bytes.Trim(value, " \t")) != "0"
	case bytes.EqualFold(name, encodingKey):
		f.encodings++
	}
}

// fault returns what is ambiguous; empty if nothing is.
func (f *framing) fault() string {
	if f.lengths+f.encodings > 1 {
		return "more than one Content-Length or Transfer-Encoding header"
	}
	return ""
}

// announcesBody reports whether the head announces a body that is not empty.
func (f *framing) announcesBody() bool {
	return f.encodings > 0 || f.notEmpty
}
