package operator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"tanagerroad/io/operator"
)

// TestDeniedChangeHasNoOutcome guards against a change of the tables that is denied for its
// token and whose reply says neither that nor what to do.
func TestDeniedChangeHasNoOutcome(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		operator.WriteJSON(w, http.StatusUnauthorized, operator.ErrorReply{Reason: "an operator's token is needed"})
	}))
	defer server.Close()
	reply, err := operator.PutTables(t.Context(), http.DefaultClient, strings.TrimPrefix(server.URL, "http://"), "", operator.TableChange{})
	if err != nil || reply.Outcome != operator.Denied || reply.Reason == "" {
		t.Errorf("got %+v, %v, want the outcome %s with its reason", reply, err, operator.Denied)
	}
}
