package main

import (
	"net/http"
	"strconv"
)

// setHeaders sets the headers that all requests of clients have.
func setHeaders(request *http.Request, id string, deadlineMs int) {
	request.Header.Set(headerAttempt, id)
	request.Header.Set(headerDeadline, strconv.Itoa(deadlineMs))
	request.Header.Set(headerKey, apiKey)
}
