package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	requestTimeout = 5 * time.Second
	maxReplyBytes  = 16 << 20
)

// operatorFlags select the node to query.
type operatorFlags struct {
	Node string `short:"n" long:"node" value-name:"IP:PORT" default:"127.0.0.1:7402" description:"operator listener of the node"`
}

// reply is a response whose body has been read.
type reply struct {
	code   int
	status string
	header http.Header
	body   []byte
}

// request sends a request and returns the reply. A body longer than
// maxReplyBytes is an error.
func request(method, url string, header http.Header, body []byte) (reply, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	client := &http.Client{Timeout: requestTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, fmt.Errorf("ask node: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return reply{}, fmt.Errorf("read reply: %w", err)
	}
	if len(data) > maxReplyBytes {
		return reply{}, fmt.Errorf("read reply: it exceeds %d bytes", maxReplyBytes)
	}
	return reply{code: resp.StatusCode, status: resp.Status, header: resp.Header, body: data}, nil
}
