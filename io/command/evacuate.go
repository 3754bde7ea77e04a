package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"tanagerroad/io/operator"
)

var evacuateVerbs = []string{"begin", "finish", "list"}

// evacuateCommand begins or finishes the evacuation of an availability zone, or lists the
// zones that orders were given for.
func evacuateCommand(sub *flaggy.Subcommand) action {
	var verb, zone, address, token string
	sub.AddPositionalValue(&verb, "verb", 1, true, strings.Join(evacuateVerbs, ", "))
	sub.AddPositionalValue(&zone, "zone", 2, false, "availability zone to begin or finish")
	sub.String(&address, "", "operator", "operator address of a control instance, HOST:PORT")
	sub.String(&token, "", "token-file", "file that holds the operator's token")
	return func(ctx context.Context, env environment, _ []string) error {
		switch {
		case verb == "list":
			return printReply(ctx, env, address, token, "/evacuations")
		case verb != "begin" && verb != "finish":
			return &usageError{suggestNearest("evacuate subcommand", verb, evacuateVerbs)}
		case zone == "":
			return &usageError{"missing availability zone; usage: tanagerroad evacuate " + verb + " ZONE --operator HOST:PORT"}
		}
		return orderEvacuation(ctx, env, address, token, verb, zone)
	}
}

// orderRetryTimeout is how long an order is sent again while no quorum settles it.
const orderRetryTimeout = 5 * time.Second

// orderEvacuation sends an order until it is in effect or refused.
func orderEvacuation(ctx context.Context, env environment, address, tokenFile, verb, zone string) error {
	client, token, err := operatorClient(address, tokenFile)
	if err != nil {
		return err
	}
	method := http.MethodPost
	if verb == "finish" {
		method = http.MethodDelete
	}
	ctx, cancel := context.WithTimeout(ctx, orderRetryTimeout)
	defer cancel()
	for {
		var reply json.RawMessage
		code, err := operator.Call(ctx, client, method, address, "/evacuations/"+url.PathEscape(zone), token, nil, &reply)
		switch {
		case code == http.StatusOK:
			fmt.Fprintln(env.stdout, "in effect:", verb, zone)
			return nil
		case code == http.StatusNotFound || code == http.StatusUnauthorized || code == http.StatusBadRequest:
			return fmt.Errorf("%s %s: status %d: %s", verb, zone, code, reply)
		}
		select {
		case <-ctx.Done():
			if err == nil {
				err = fmt.Errorf("status %d: %s", code, reply)
			}
			return fmt.Errorf("%s %s: no acknowledgement in %s: %w", verb, zone, orderRetryTimeout, err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}
