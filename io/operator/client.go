package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Call sends an HTTP request to the operator address of a process and returns the
// status code. A body other than nil is encoded as JSON. The JSON of the response
// is decoded into reply whatever the status code, except for 204 (No Content).
func Call(ctx context.Context, client *http.Client, method, address, path, token string, body, reply any) (int, error) {
	var payload bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&payload).Encode(body); err != nil {
			return 0, fmt.Errorf("operator: %w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, &payload)
	if err != nil {
		return 0, fmt.Errorf("operator: %w", err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("operator: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNoContent {
		return response.StatusCode, nil
	}
	if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
		return response.StatusCode, fmt.Errorf("operator: %s %s: %s: %w", method, path, response.Status, err)
	}
	return response.StatusCode, nil
}

// Denied is the Outcome of a change that was sent without a valid token.
const Denied = "denied"

// PutTables sends a change of the tables to the operator address of a control
// instance. A rejected change is not an error: see Outcome in the reply. A reply
// without one is.
func PutTables(ctx context.Context, client *http.Client, address, token string, change TableChange) (TableChangeReply, error) {
	var reply TableChangeReply
	status, err := Call(ctx, client, http.MethodPut, address, "/tables", token, change, &reply)
	switch {
	case status == http.StatusUnauthorized:
		reply.Outcome = Denied
	case err == nil && reply.Outcome == "":
		err = fmt.Errorf("operator: PUT /tables: status %d without an outcome", status)
	}
	return reply, err
}
