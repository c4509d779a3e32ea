package http1

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// Document is the complete response to a GET request.
type Document struct {
	Status int
	Header http.Header
	Body   []byte
}

// ErrBodyTooLarge reports a response body above the limit of its reader.
var ErrBodyTooLarge = errors.New("response body is too large")

// Get reads the complete response to a GET request, whose body must have less than
// limit bytes.
func (p *Pool) Get(ctx context.Context, address, target string, limit int) (*Document, error) {
	response, err := p.DoIdempotent(ctx, address, &Request{Method: http.MethodGet, Target: target, Host: address})
	if err != nil {
		return nil, err
	}
	return response.document(limit)
}

// DoIdempotent is Do for requests that may run more than once. A request that is lost
// together with a kept connection is sent again, as the server may have closed the
// connection before.
func (p *Pool) DoIdempotent(ctx context.Context, address string, req *Request) (*ClientResponse, error) {
	for {
		response, err := p.Do(ctx, address, req)
		if err == nil {
			return response, nil
		}
		var reqErr *RequestError
		if ctx.Err() != nil || !errors.As(err, &reqErr) || !reqErr.Reused || !connLost(reqErr.Err) {
			return nil, err
		}
	}
}

// document reads the body and closes the response.
func (r *ClientResponse) document(limit int) (*Document, error) {
	body, complete, err := r.ReadBody(limit)
	if err != nil {
		return nil, fmt.Errorf("response body: %w", err)
	}
	if !complete {
		r.Close()
		return nil, fmt.Errorf("%w: over %d bytes", ErrBodyTooLarge, limit)
	}
	return &Document{Status: r.Status, Header: r.Header, Body: body}, nil
}
