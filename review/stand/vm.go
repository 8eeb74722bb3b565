package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
)

// deployRole is a role of the deploy file.
type deployRole struct {
	Run      string            `toml:"run"`
	Template string            `toml:"template"`
	Env      map[string]string `toml:"env"`
}

// readRole reads the only role of the deploy file.
func readRole() (r deployRole, err error) {
	var deploy struct {
		Roles map[string]deployRole `toml:"roles"`
	}
	if _, err := toml.DecodeFile("deploy/system.toml", &deploy); err != nil {
		return r, err
	}
	for _, r := range deploy.Roles {
		return r, nil
	}
	return r, fmt.Errorf("deploy file has no role")
}

// vm is a machine that runs the role as a process.
type vm struct {
	name, zone string
	fields     map[string]any
	settings   string
	log        string
	role       deployRole
	// removed says that the machine was removed for good.
	removed   bool
	cmd       *exec.Cmd
	done      chan struct{}
	front     string
	ready     string
	directory string
}

// newVM chooses free addresses for a machine and makes its settings, as the pages show them for a small site.
func newVM(number int, zone, network, dir string, s *store, role deployRole) (m *vm, err error) {
	ip := fmt.Sprintf("%s.%d", network, number)
	addresses := make([]string, 6)
	for i := range addresses {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses[i] = l.Addr().String()
	}
	port := func(i int) int {
		_, p, _ := strings.Cut(addresses[i], ":")
		n, _ := strconv.Atoi(p)
		return n
	}
	regions := map[string]any{}
	for _, z := range zones {
		regions[z] = "region"
	}
	name := fmt.Sprintf("edge-%s-%d", zone, number)
	m = &vm{
		name: name, zone: zone, role: role, front: addresses[0], ready: addresses[1], directory: addresses[2],
		settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"),
	}
	m.fields = map[string]any{
		"node": name, "role": "entry", "machine_class": "edge", "ip": ip, "zone": zone, "region": "region", "zones": regions,
		"port_range": []any{port(4), port(5)}, "bootstrap": true, "heartbeat_ms": 1200,
		"listen":   map[string]any{"front": addresses[0], "ready": addresses[1], "directory": addresses[2], "control": addresses[3]},
		"limits":   map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 154, "max_fds": 8200, "link_mbps": 1000.0},
		"bounds":   map[string]any{"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "recover_s": 12, "ttl_max_s": 5},
		"platform": map[string]any{"address": s.address, "writes_per_s": 800, "reads_per_s": 2000, "row_bytes": maxRowBytes},
	}
	return m, nil
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}(.*?)\{\{/\w+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// fill fills the placeholders and the sections over tables that the template of the settings uses.
func fill(template string, fields map[string]any) (text string, err error) {
	text = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		table, _ := fields[parts[1]].(map[string]any)
		var out []string
		for key := range table {
			out = append(out, strings.NewReplacer("{{@}}", key, "{{,}}", "").Replace(parts[2]))
		}
		return strings.Join(out, ",")
	})
	text = placeholderPattern.ReplaceAllStringFunc(text, func(p string) string {
		parts := placeholderPattern.FindStringSubmatch(p)
		value, ok := lookup(fields, parts[1])
		if !ok {
			err = fmt.Errorf("template names the unknown field %s", parts[1])
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		data, _ := json.Marshal(value)
		return string(data)
	})
	return text, err
}

// lookup finds a field by a path such as listen.front or port_range.0.
func lookup(fields map[string]any, path string) (value any, ok bool) {
	value = fields
	for name := range strings.SplitSeq(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value, ok = v[name]
		case []any:
			i, err := strconv.Atoi(name)
			if ok = err == nil && i < len(v); ok {
				value = v[i]
			}
		default:
			ok = false
		}
		if !ok {
			return nil, false
		}
	}
	return value, true
}

// start writes the settings and starts the process.
func (m *vm) start() (err error) {
	template, err := os.ReadFile(m.role.Template)
	if err != nil {
		return err
	}
	text, err := fill(string(template), m.fields)
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(m.role.Run)
	m.cmd = exec.Command(words[0], words[1:]...)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HYSSOPGRADE_SETTINGS=" + m.settings}
	for name, value := range m.role.Env {
		m.cmd.Env = append(m.cmd.Env, name+"="+value)
	}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.fields["bootstrap"] = false // true at the first start only
	cmd, done := m.cmd, make(chan struct{})
	m.done = done
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (m *vm) kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.done
	m.cmd = nil
}

// restart stops the process with SIGTERM, as the platform does, waits for its end and starts it again.
func (m *vm) restart() error {
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	<-m.done
	return m.start()
}

// isReady asks for the machine's readiness, as the platform does.
func (m *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + m.ready + "/v1/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}
