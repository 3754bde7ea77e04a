package main

import (
	"net/http"
	"strconv"
)

// setHeaders sets the headers that all requests of clients have.
func setHeaders(request *http.Request, id string, deadlineMs int) {
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.Itoa(deadlineMs))
	request.Header.Set("X-Credential", apiKey)
}
