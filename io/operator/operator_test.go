package operator_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"tanagerroad/core/settings"
	"tanagerroad/io/operator"
)

// TestTokenGuardsAllButHealth: without the token only health is shown, and no
// token ever reaches a log.
func TestTokenGuardsAllButHealth(t *testing.T) {
	const token = "a-secret-of-ours"
	var log bytes.Buffer
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&log), zap.DebugLevel)
	address, closeDoor, err := operator.New(operator.Config{
		Settings: settings.Operator{Address: "127.0.0.1:0", Token: token}, Logger: zap.New(core), Metrics: metrics.NewRegistry(),
		Ready: func() bool { return false }, Status: func(context.Context) any { return "fine" },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer closeDoor()
	for _, c := range []struct {
		path, shown string
		want        int
	}{
		{"/livez", "", http.StatusOK},
		{"/readyz", "", http.StatusServiceUnavailable},
		{"/status", "", http.StatusUnauthorized},
		{"/metrics", "another-secret", http.StatusUnauthorized},
		{"/status", token, http.StatusOK},
		{"/metrics", token, http.StatusOK},
	} {
		request, err := http.NewRequest(http.MethodGet, "http://"+address+c.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		if c.shown != "" {
			request.Header.Set("Authorization", "Bearer "+c.shown)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != c.want {
			t.Errorf("%s with the token %q: status %d, want %d", c.path, c.shown, response.StatusCode, c.want)
		}
	}
	if strings.Contains(log.String(), "secret") || log.Len() == 0 {
		t.Errorf("the log must name the refused calls and no token: %s", log.String())
	}
}
