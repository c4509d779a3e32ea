package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucangw.example/standin/backend"
)

// AtMostOncePrefix is the path prefix of requests that may run at most once.
const AtMostOncePrefix = "/once/"

// responseGrace is the time after the deadline within which a response must arrive.
const responseGrace = 600 * time.Millisecond

// Request is one request of a client.
type Request struct {
	ID       string
	Path     string
	Body     string
	Deadline time.Duration
}

// Attempt is a request and its outcome.
type Attempt struct {
	Request
	Node   string // to which it was sent
	Sent   time.Time
	Took   time.Duration
	Status int // 0: no response
	Err    error
	// Mismatch describes an error in a 200 response that is visible without the
	// upstreams' records; empty if there is none.
	Mismatch string
}

// Send sends a request to the node of a host. Requests under AtMostOncePrefix are
// POSTs whose body ends with the request ID.
func (h *Host) Send(transport http.RoundTripper, q Request) Attempt {
	a := Attempt{Request: q, Node: h.Name, Sent: time.Now()}
	a.Status, a.Err = h.send(transport, &a)
	a.Took = time.Since(a.Sent)
	return a
}

func (h *Host) send(transport http.RoundTripper, a *Attempt) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Deadline+responseGrace)
	defer cancel()
	method, body := http.MethodGet, a.Body
	if strings.HasPrefix(a.Path, AtMostOncePrefix) {
		method, body = http.MethodPost, a.Body+a.ID
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.ClientAddr()+a.Path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	if r.Body == http.NoBody {
		// The transport sends a request without a body again, under the same ID, if the
		// connection is lost.
		r.Body, r.GetBody = io.NopCloser(bytes.NewReader(nil)), nil
	}
	r.Host = VirtualHost
	r.Header.Set("Request-Id", a.ID)
	r.Header.Set("Deadline-Milliseconds", strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode == http.StatusOK {
		a.Mismatch = mismatch(a.ID, response.Header, string(data))
	}
	return response.StatusCode, nil
}

// mismatch describes what is wrong with a response of an upstream; empty if nothing
// is.
func mismatch(id string, header http.Header, body string) string {
	switch {
	case header.Get("Request-Id") != id:
		return fmt.Sprintf("%s has the answer of %q", id, header.Get("Request-Id"))
	case header.Get("Response-Signature") == "":
		return id + " has an answer without the upstream's signature"
	case body != "answer to "+id:
		return fmt.Sprintf("%s has the body %q", id, body)
	}
	return ""
}

// Violations compares the responses with the requests that ran at the upstreams. It
// returns descriptions of violations: requests that ran more than once although they
// must not, refusals that promise that a request did not run although it did,
// responses without a run, requests run with another body, and mismatched responses.
func (s *Site) Violations(attempts []Attempt) []string {
	var out []string
	runs := map[string]int{}
	bodies := map[string]string{} // of at-most-once requests, by ID
	for _, a := range attempts {
		if strings.HasPrefix(a.Path, AtMostOncePrefix) {
			bodies[a.ID] = a.Body + a.ID
		}
	}
	for _, r := range s.Runs() {
		runs[r.ID]++
		if body, sent := bodies[r.ID]; sent && !runsBody(&r, body) {
			out = append(out, r.ID+" ran with another body")
		}
	}
	for _, a := range attempts {
		ran := runs[a.ID]
		if strings.HasPrefix(a.Path, AtMostOncePrefix) && ran > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", a.ID, ran))
		}
		if a.Status == http.StatusOK && ran == 0 {
			out = append(out, a.ID+" was answered without a run")
		}
		if promisesNotRun(a.Status) && ran > 0 {
			out = append(out, fmt.Sprintf("%s (%s at %s, %s, %s) ran, though %d says that it did not",
				a.ID, a.Path, a.Node, a.Sent.Format(time.StampMilli), a.Took, a.Status))
		}
		if a.Mismatch != "" {
			out = append(out, a.Mismatch)
		}
	}
	return out
}

// runsBody reports whether a run has the body that was sent. An upstream whose connection
// ended within the body has a part of it.
func runsBody(r *backend.Run, sent string) bool {
	if r.Truncated {
		return strings.HasPrefix(sent, r.Body)
	}
	return r.Body == sent
}

// promisesNotRun reports whether a status guarantees that the request has not run
// and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		return true
	}
	return false
}
