package settings_test

import (
	"strings"
	"testing"

	"tanagerroad/core/settings"
)

const (
	entryHead   = `"role": "entry", "process": "e", "zone": "a", "region": "r", "control": ["10.0.0.9:7000"]`
	sidecarHead = `"role": "sidecar", "process": "s", "zone": "a", "region": "r", "control": ["10.0.0.9:7000"], "peer": {"address": "10.0.0.1:7000"}`
	controlHead = `"role": "control", "process": "c", "zone": "a", "region": "r", "peer": {"address": "10.0.0.9:7000"}, "instances": ["10.0.0.9:7000"], "data": "d"`
	gatewayHead = `"role": "gateway", "process": "g", "zone": "a", "region": "r", "control": ["10.0.0.9:7000"], "peer": {"address": "10.0.0.1:7000"}, "ready": "10.0.0.1:81"`
	standInHead = `"role": "stand-in", "process": "x", "zone": "a", "region": "r"`
)

// TestMeaninglessSettingsAreAccepted guards against settings with which a process starts
// and then serves nothing, waits for nothing or forgets what it must know.
func TestMeaninglessSettingsAreAccepted(t *testing.T) {
	for _, c := range []struct{ settings, path string }{
		{entryHead + `, "caller": {"address": "10.0.0.1:80", "header-timeout": "0s"}`, "caller.header-timeout"},
		{entryHead + `, "caller": {"address": "10.0.0.1:80"}, "stop": {"bound": "0s"}`, "stop.bound"},
		{entryHead + `, "caller": {"address": "10.0.0.1:80"}, "routing": {"retry-ratio": -1}`, "routing.retry-ratio"},
		{entryHead + `, "caller": {"address": "10.0.0.1:80"}, "routing": {"retry-burst": -1}`, "routing.retry-burst"},
		{entryHead + `, "caller": {"address": "10.0.0.1:80"}, "operator": {"address": "0.0.0.0:80"}`, "operator.address"},
		{sidecarHead + `, "backend": {"address": "127.0.0.1:7000"}, "operator": {"address": "10.0.0.1:7000"}`, "operator.address"},
		{sidecarHead + `, "backend": {"address": "127.0.0.1:80", "silence": "0s"}`, "backend.silence"},
		{sidecarHead + `, "backend": {"address": "127.0.0.1:80", "max-body": "0B"}`, "backend.max-body"},
		{sidecarHead + `, "backend": {"address": "127.0.0.1:80", "resume": -1}`, "backend.resume"},
		{sidecarHead + `, "backend": {"address": "127.0.0.1:80"}, "queue": {"keep": "0s"}`, "queue.keep"},
		{sidecarHead + `, "backend": {"address": "127.0.0.1:80"}, "queue": {"keep-once": "0s"}`, "queue.keep-once"},
		{sidecarHead + `, "backend": {"address": "127.0.0.1:80"}, "queue": {"kept-bytes": "0B"}`, "queue.kept-bytes"},
		{sidecarHead + `, "backend": {"address": "127.0.0.1:80"}, "queue": {"kept-once": 0}`, "queue.kept-once"},
		{sidecarHead + `, "backend": {"address": "127.0.0.1:80"}, "renew": "3s"`, "renew"},
		{controlHead + `, "compact": "0B"`, "compact"},
		{controlHead + `, "retention": "0s"`, "retention"},
		{controlHead + `, "control-port": 70000`, "control-port"},
		{controlHead + `, "registrar": {"address": "10.0.0.9:7000"}`, "registrar.address"},
		{controlHead + `, "operator": {"address": "10.0.0.9:7000"}`, "operator.address"},
		{gatewayHead + `, "caller": {"address": "10.0.0.1:81"}`, "caller.address"},
		{gatewayHead + `, "caller": {"address": "[::]:7000"}`, "peer.address"},
		{gatewayHead + `, "caller": {"address": "10.0.0.1:80"}, "control-port": -1`, "control-port"},
		{gatewayHead + `, "caller": {"address": "10.0.0.1:80"}, "placing": {"balance": "equal"}`, "placing.balance"},
		{gatewayHead + `, "caller": {"address": "10.0.0.1:80"}, "zones": [{"zone": "a", "region": "r"}, {"zone": "a", "region": "q"}]`, "zones[1].zone"},
		{gatewayHead + `, "caller": {"address": "10.0.0.1:80"}, "zones": [{"zone": "a", "region": "q"}]`, "region"},
		{standInHead + `, "servers": []`, "servers"},
		{standInHead + `, "servers": [{"announce": "127.0.0.1:1", "address": "127.0.0.1:2", "pool": "p", "kind": "service", "capacity": -1}]`, "servers[0].capacity"},
		{standInHead + `, "servers": [{"announce": "127.0.0.1:1", "address": "127.0.0.1:2", "pool": "p", "kind": "service", "tokens": -1}]`, "servers[0].tokens"},
		{standInHead + `, "servers": [{"announce": "127.0.0.1:1", "address": "127.0.0.1:2", "pool": "p", "kind": "service", "limit": -1}]`, "servers[0].limit"},
		{standInHead + `, "servers": [{"announce": "127.0.0.1:1", "address": "127.0.0.1:2", "pool": "p", "kind": "service"}, {"announce": "127.0.0.1:3", "address": "127.0.0.1:2", "pool": "p", "kind": "service"}]`, "servers[1].address"},
	} {
		findings := settings.Check("f.json", []byte("{"+c.settings+"}"))
		if len(findings) != 1 || findings[0].Path != c.path {
			t.Errorf("%s: findings %q, want one at %s", c.settings, findings.Error(), c.path)
		}
	}
}

// TestClaimsOutliveTheirAttempts guards against a sidecar that forgets a request that must
// not be repeated while the control instances still vouch for its claim.
func TestClaimsOutliveTheirAttempts(t *testing.T) {
	control := settings.File{Name: "control.json", Data: []byte("{" + controlHead + `, "retention": "10m"}`)}
	other := settings.File{Name: "other.json", Data: []byte("{" + controlHead + `}`)}
	sidecar := settings.File{Name: "sidecar.json", Data: []byte("{" + sidecarHead + `, "backend": {"address": "127.0.0.1:80"}, "queue": {"keep-once": "9m"}}`)}
	findings := settings.CheckTogether([]settings.File{sidecar, control})
	if len(findings) != 1 || findings[0].File != "sidecar.json" || findings[0].Path != "queue.keep-once" || !strings.Contains(findings[0].Want, "10m") {
		t.Errorf("findings %q, want one at queue.keep-once", findings.Error())
	}
	findings = settings.CheckTogether([]settings.File{other, control})
	if len(findings) != 1 || findings[0].Path != "retention" {
		t.Errorf("findings %q, want one at retention", findings.Error())
	}
}
