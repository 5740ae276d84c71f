package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// site is the deployment. Each machine has a loopback address of its own, as the ports are the same on all machines.
type site struct {
	prefix string // first two numbers of the loopback addresses
	base   int    // least value of the third number
	folder string // temporary
	hosts  []*host
	store  string

	machines []machine

	entryPort, readyPort, directoryPort, peerPort int

	resolvers []string // addresses of the directories, by zone
	seeds     []string
	ready     []string // addresses of the readiness checks
}

var zones = []string{"kv-a", "kv-b", "kv-c"}

func (s *site) ip(zone, number int) string {
	return fmt.Sprintf("%s.%d.%d", s.prefix, s.base+zone, number)
}

// host is one process of the deployment.
type host struct {
	*exec.Cmd
	machine machine
	killed  bool
}

// machine is one machine of the deployment with its roles.
type machine struct {
	zone, number int
	resolver     bool
}

// machines of the small deployment zk-search: 3, 2 and 2, the last of each zone with a resolver, as the deploy file says.
var machines = []machine{
	{0, 1, false}, {0, 2, false}, {0, 3, true}, {1, 1, false}, {1, 2, true}, {2, 1, false}, {2, 2, true},
}

// machinesOfSearch are those of the small deployment ryddig-sok, in zonesOfSearch.
var (
	machinesOfSearch = []machine{
		{0, 1, false}, {0, 2, true}, {1, 1, false}, {1, 2, false}, {1, 3, true}, {2, 1, true},
	}
	zonesOfSearch = []string{"vestland-a", "vestland-b", "vestland-c"}
)

// spares are the machines that may be added to it.
var spares = []machine{{0, 4, false}, {1, 3, false}, {2, 3, false}}

// start starts all hosts with the commands of deploy/system.toml.
func (s *site) start() error {
	var seeds []string
	for _, m := range []machine{{0, 1, false}, {1, 1, false}, {2, 1, false}} {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip(m.zone, m.number), s.entryPort+9))
	}
	s.seeds = seeds
	for _, m := range s.machines {
		if err := s.startMachine(m, true); err != nil {
			return err
		}
	}
	return nil
}

// startMachine starts the processes of a machine.
func (s *site) startMachine(m machine, bootstrap bool) error {
	ip := s.ip(m.zone, m.number)
	name := fmt.Sprintf("edge-%s-%d", zones[m.zone], m.number)
	entry, ready := fmt.Sprintf("%s:%d", ip, s.entryPort), fmt.Sprintf("%s:%d", ip, s.readyPort)
	if bootstrap {
		s.ready = append(s.ready, ready)
	}
	if err := s.run(name, "entry", m, map[string]any{"edge_addr": entry, "readiness": ready,
		"admin": fmt.Sprintf("%s:%d", ip, s.entryPort+9)}, []string{"edge", "control_plane"}, bootstrap, "9464"); err != nil {
		return err
	}
	if !m.resolver {
		return nil
	}
	directory := fmt.Sprintf("%s:%d", ip, s.directoryPort)
	if bootstrap {
		s.resolvers = append(s.resolvers, directory)
	}
	return s.run(name, "resolver", m, map[string]any{"directory": directory}, []string{"directory"}, bootstrap, "9465")
}

func (s *site) run(name, role string, m machine, listen map[string]any, serves []string, bootstrap bool,
	metrics string) error {
	settings := map[string]any{
		"node_name": name, "role": role, "machine_class": "edge", "serves": serves, "ip": s.ip(m.zone, m.number),
		"zone": zones[m.zone], "region": "kvarner",
		"zones":        map[string]string{zones[0]: "kvarner", zones[1]: "kvarner", zones[2]: "kvarner"},
		"listen_addrs": listen, "port_range": []int{s.peerPort, s.peerPort + 15}, "seed_nodes": s.seeds, "bootstrap": bootstrap,
		"in_tolerance": false, "data_dir": nil, "discovery": "platform", "entrypoint": "directory", "heartbeat_ms": 1200,
		"limits": map[string]any{"cpu_quota": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0,
			"disk_mb": 0},
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_timeout_ms": 5000,
			"catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000,
			"downgrade_ms": 250, "max_skew_ms": 12000, "retry_budget": 0.2, "budget_window_s": 10, "budget_slack": service.budgetSlack,
			"warmup_overshoot": 1.5, "warmup_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "ttl_max_s": 5},
		"platform": map[string]any{"address": s.store, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000,
			"history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(s.folder, name+"-"+role+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(s.folder, name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command("target/yuccarock", "host", "--metrics-port", metrics)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "YUCCAROCK_BOOT=" + path}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	s.hosts = append(s.hosts, &host{Cmd: command, machine: m})
	return nil
}

// awaitReady returns whether all entry hosts are ready within a time.
func (s *site) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, address := range s.ready {
			if response, err := client.Get("http://" + address + "/readyz"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.ready) {
			return true
		}
	}
	return false
}

// kill kills the processes of a machine.
func (s *site) kill(m machine) { s.signal(m, os.Kill) }

// remove stops the processes of a machine with SIGTERM and, after grace_s, with SIGKILL; they don't start again.
func (s *site) remove(m machine) {
	s.signal(m, syscall.SIGTERM)
	time.Sleep(6 * time.Second)
	s.signal(m, os.Kill)
}

func (s *site) signal(m machine, signal os.Signal) {
	for _, each := range s.hosts {
		if each.machine == m {
			each.killed = true
			_ = each.Process.Signal(signal)
		}
	}
}

// stop ends all hosts that were started and returns how many had ended by themselves.
func (s *site) stop() (ended int) {
	for _, each := range s.hosts {
		if each.Process.Signal(syscall.Signal(0)) != nil && !each.killed {
			ended++
		}
		_ = each.Process.Kill()
	}
	for _, each := range s.hosts {
		_ = each.Wait()
	}
	return ended
}
