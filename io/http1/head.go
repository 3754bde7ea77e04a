package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// ErrOddHead is the error of a response with a head that HTTP does not allow.
var ErrOddHead = errors.New("the response has a head that HTTP does not allow")

// readHead reads the head of one response. The error is ErrOddHead for a head that package
// http reads and HTTP does not allow.
func (conn *connection) readHead(request *http.Request) (*http.Response, error) {
	buffered, err := conn.reader.Peek(conn.reader.Buffered())
	if err != nil {
		return nil, err
	}
	conn.limited.copied = slices.Clone(buffered)
	conn.limited.left = maxHeaderBytes
	defer func() { conn.limited.copied, conn.limited.left = nil, unlimited }()
	resp, err := http.ReadResponse(conn.reader, request)
	if err != nil {
		return nil, err
	}
	head := conn.limited.copied[:len(conn.limited.copied)-conn.reader.Buffered()]
	return resp, checkHead(resp, head)
}

// checkHead returns ErrOddHead if HTTP does not allow a head. Others may read it in other ways,
// so that neither what it says of the body nor that a request did not run can be relied on.
func checkHead(resp *http.Response, head []byte) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: the protocol %.16q", ErrOddHead, resp.Proto)
	}
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: the status %.16q", ErrOddHead, resp.Status)
	}
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	for line := range bytes.SplitSeq(fields, []byte("\n")) {
		if len(bytes.TrimRight(line, "\r")) == 0 {
			return nil
		}
		before, _, isField := bytes.Cut(line, []byte(":"))
		name := string(before)
		if line[0] == ' ' || line[0] == '\t' { // the value before goes on
			if isField && httpguts.ValidHeaderFieldName(strings.TrimSpace(name)) {
				return fmt.Errorf("%w: a field %.64q behind a blank", ErrOddHead, name)
			}
			continue
		}
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: a field with the name %.64q", ErrOddHead, name)
		}
		if !resp.ProtoAtLeast(1, 1) && strings.EqualFold(name, "Transfer-Encoding") {
			return fmt.Errorf("%w: a transfer encoding in HTTP/1.0", ErrOddHead)
		}
	}
	return nil
}
