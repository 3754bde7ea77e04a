package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
)

// deployment holds the addresses of the processes.
type deployment struct {
	Controls []string // registrar listeners
	Fronts   []string // caller listeners of the gateways
	Ready    []string // readiness listeners of the gateways
	// ControlOperators are the operator listeners of the control instances.
	ControlOperators []string
}

const deploymentFile = "deployment.json"

// zones are the availability zones, each in a region of its own.
var zones = []string{"bergen-a", "bodo-a", "trondheim-a"}

var regionOf = map[string]string{"bergen-a": "vestland", "bodo-a": "nordland", "trondheim-a": "trondelag"}

// nodeIP returns the loopback address of a machine.
func nodeIP(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

// freePorts returns ports that are free on all machines, as in the users' deployments,
// where ports are the same everywhere.
func freePorts(n, machines int) ([]int, error) {
	var ports []int
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	for tries := 0; len(ports) < n; tries++ {
		if tries > 1000 {
			return nil, fmt.Errorf("no free ports")
		}
		first, err := net.Listen("tcp", nodeIP(0)+":0")
		if err != nil {
			return nil, err
		}
		held = append(held, first)
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for i := 1; i < machines && free; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeIP(i), port))
			if free = err == nil; free {
				held = append(held, l)
			}
		}
		if free {
			ports = append(ports, port)
		}
	}
	return ports, nil
}

// writeSettings writes the settings files of all processes, with the fields of the
// templates in deploy/. A machine has a gateway, and the first ones a control instance too.
func writeSettings(dir string, controls, gateways int) error {
	machines := max(controls, gateways)
	ports, err := freePorts(7, machines)
	if err != nil {
		return err
	}
	front, ready, control, internal0, internal1, controlOperator, gatewayOperator := ports[0], ports[1], ports[2], ports[3], ports[4], ports[5], ports[6]
	at := func(i, port int) string { return fmt.Sprintf("%s:%d", nodeIP(i), port) }
	var zoneList []map[string]string
	for _, z := range zones {
		zoneList = append(zoneList, map[string]string{"zone": z, "region": regionOf[z]})
	}
	var seeds []string
	for i := range min(controls, 3) {
		seeds = append(seeds, at(i, control))
	}
	var d deployment
	for i := range machines {
		zone := zones[i%len(zones)]
		name := fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones))
		if i < controls {
			settings := map[string]any{
				"role": "control", "process": name, "zone": zone, "region": regionOf[zone],
				"operator": map[string]any{"address": at(i, controlOperator)}, "peer": map[string]any{"address": at(i, internal0)},
				"election": "600ms", "beat": "150ms", "instances": seeds, "control-port": internal0,
				"data": filepath.Join(dir, fmt.Sprintf("data-%d", i)), "registrar": map[string]any{"address": at(i, control)},
				"zones": zoneList, "bootstrap": true, "open": true, "memory": "284MiB",
			}
			if err := writeJSON(filepath.Join(dir, fmt.Sprintf("control-%d.json", i)), settings); err != nil {
				return err
			}
			d.Controls, d.ControlOperators = append(d.Controls, at(i, control)), append(d.ControlOperators, at(i, controlOperator))
		}
		if i < gateways {
			settings := map[string]any{
				"role": "gateway", "process": name, "zone": zone, "region": regionOf[zone],
				"stop": map[string]any{"grace": "2500ms", "bound": "4400ms"}, "operator": map[string]any{"address": at(i, gatewayOperator)},
				"caller": map[string]any{"address": at(i, front), "header-timeout": "5s"}, "ready": at(i, ready),
				"peer": map[string]any{"address": at(i, internal1)}, "control": seeds, "control-port": internal0, "zones": zoneList,
				"capacity": map[string]any{"processor": 0.72, "link-mbps": 1000.0}, "placing": map[string]any{"balance": "even"}, "memory": "284MiB",
			}
			if err := writeJSON(filepath.Join(dir, fmt.Sprintf("gateway-%d.json", i)), settings); err != nil {
				return err
			}
			d.Fronts, d.Ready = append(d.Fronts, at(i, front)), append(d.Ready, at(i, ready))
		}
	}
	return writeJSON(filepath.Join(dir, deploymentFile), d)
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}
