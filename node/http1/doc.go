// Package http1 implements the HTTP/1.1 client and server connections of the
// data path. net/http parses requests and responses after a check of their heads
// that is stricter than its own. Connections are managed here, because the data
// path needs what net/http hides: whether a request may have reached its receiver,
// responses that belong to another request, concurrent handling of pipelined
// requests, and the moment at which a client disconnects.
package http1
