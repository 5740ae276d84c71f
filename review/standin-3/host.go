package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// runCommand is the command of the role in the deploy file.
const runCommand = "target/yuccarock host --metrics-port 9464"

// bounds are those of a small deployment of the pages.
var bounds = map[string]any{
	"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
	"loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_ms": 250, "max_skew_ms": 12000, "retry_budget": 0.2,
	"budget_window_s": 10, "budget_slack": 52, "warmup_overshoot": 1.5, "warmup_slack": 5, "evacuate_ms": 5000, "recovery_s": 12,
	"ttl_max_s": 5,
}

// grace is the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// network is a part of the loopback range in which the fixed ports are free.
type network struct{ prefix string }

// newNetwork returns a network 127.X.Y in which no other process listens on the addresses used.
func newNetwork() (network, error) {
	for range 50 {
		var octets [2]byte
		if _, err := rand.Read(octets[:]); err != nil {
			return network{}, err
		}
		n := network{prefix: fmt.Sprintf("127.%d.%d", 10+int(octets[0])%240, int(octets[1]))}
		free := true
		for _, port := range []int{8100, 8102, 8104, 8108, 7380, 9464, 8080} {
			listener, err := net.Listen("tcp", n.at(1, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return n, nil
		}
	}
	return network{}, fmt.Errorf("no free loopback addresses")
}

func (n network) at(host, port int) string { return fmt.Sprintf("%s.%d:%d", n.prefix, host, port) }

// hostProcess is a process of the system on a machine of its own.
type hostProcess struct {
	name, ip, entry, readiness, directory string

	settings string
	command  *exec.Cmd
	log      *os.File
	ended    chan struct{}
}

// machine is the size of a machine.
type machine struct {
	memoryMB, descriptors int
	cores                 float64
}

// smallMachine is that of the small deployments.
var smallMachine = machine{memoryMB: 284, descriptors: 4100, cores: 0.4}

// startHost starts a process with the command of the deploy file. Its log goes to a file in the folder.
func startHost(n network, folder string, number int, zone string, size machine, storeAddress string) (*hostProcess, error) {
	ip := fmt.Sprintf("%s.%d", n.prefix, number)
	h := &hostProcess{
		name: fmt.Sprintf("edge-%s-%d", zone, number), ip: ip, entry: n.at(number, 8104), readiness: n.at(number, 8108),
		directory: n.at(number, 8100),
	}
	data, err := json.MarshalIndent(map[string]any{
		"node_name": h.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge", "control_plane", "directory"},
		"ip": ip, "zone": zone, "region": "r", "zones": map[string]string{"a": "r", "b": "r", "c": "r"},
		"listen_addrs": map[string]string{
			"edge_addr": h.entry, "readiness": h.readiness, "admin": n.at(number, 8106), "directory": h.directory,
		},
		"port_range": []int{7380, 7395}, "seed_nodes": []string{n.at(1, 8106)}, "bootstrap": true, "in_tolerance": false,
		"limits": map[string]any{
			"cpu_quota": size.cores, "cores": 1, "memory_mb": size.memoryMB, "max_fds": size.descriptors, "link_mbps": 1000.0, "disk_mb": 0,
		},
		"data_dir": nil, "discovery": "platform", "entrypoint": "directory", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0}, "bounds": bounds,
		"platform": map[string]any{
			"address": storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	h.settings = filepath.Join(folder, h.name+".json")
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(folder, h.name+".log")); err != nil {
		return nil, err
	}
	words := strings.Fields(runCommand)
	h.command = exec.Command(words[0], words[1:]...)
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "YUCCAROCK_BOOT=" + h.settings}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return nil, err
	}
	h.ended = make(chan struct{})
	go func() {
		_ = h.command.Wait()
		close(h.ended)
	}()
	return h, nil
}

// ready waits until the platform's status check is answered with 200.
func (h *hostProcess) ready(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + h.readiness + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", h.name, limit)
}

// signal sends a signal to the process.
func (h *hostProcess) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// running reports whether the process has not ended.
func (h *hostProcess) running() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// kill ends the process.
func (h *hostProcess) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended
	_ = h.log.Close()
}

// newID returns the id of a client attempt.
func newID() string {
	var data [8]byte
	_, _ = rand.Read(data[:])
	return hex.EncodeToString(data[:])
}
