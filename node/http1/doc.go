// Package http1 holds the HTTP/1.1 connections of the data path. Requests and
// responses are parsed by net/http; the connections are managed here, because
// the data path needs what net/http hides: whether a request may have reached
// its receiver, answers that belong to another request, pipelined requests
// that are worked on at once, and the moment at which a client leaves.
package http1
