package gateway

import (
	"net/http"

	"tanagerroad/io/httpserver"
)

// setResetOnClose sets whether the request's connection is reset when it closes, also
// when this process is killed.
func setResetOnClose(r *http.Request, reset bool) {
	httpserver.ConnOf(r).SetResetOnClose(reset)
}

// ambiguous reports whether a request has both Content-Length and a transfer
// encoding, so that the end of its body depends on who reads it: a proxy in front of the
// gateway may read it differently, and bytes of the body may then pass for a request that
// nobody sent. net/http drops the length before a handler sees it.
func ambiguous(r *http.Request) bool {
	return httpserver.ConnOf(r).TakeLengthSeen() && len(r.TransferEncoding) > 0
}
