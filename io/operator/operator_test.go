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

// TestTokenGuardsAllButHealth checks that only the health checks are served
// without the token, and that no token is ever logged.
func TestTokenGuardsAllButHealth(t *testing.T) {
	const token = "a-secret-of-ours"
	var logged bytes.Buffer
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&logged), zap.DebugLevel)
	address, closeListener, err := operator.Start(operator.Config{
		Settings: settings.Operator{Address: "127.0.0.1:0", Token: token}, Logger: zap.New(core), Metrics: metrics.NewRegistry(),
		Ready: func() bool { return false }, Status: func(context.Context) any { return "fine" },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer closeListener()
	for _, c := range []struct {
		path, presented string
		want            int
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
		if c.presented != "" {
			request.Header.Set("Authorization", "Bearer "+c.presented)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != c.want {
			t.Errorf("%s with the token %q: status %d, want %d", c.path, c.presented, response.StatusCode, c.want)
		}
	}
	if strings.Contains(logged.String(), "secret") || logged.Len() == 0 {
		t.Errorf("got log %s, want the denied calls and no token", logged.String())
	}
}
