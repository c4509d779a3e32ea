package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"toucangw.example/node/operator"
	"toucangw.example/standin/relay"
	"toucangw.example/standin/upstream"
)

const (
	startTimeout = 15 * time.Second
	httpTimeout  = 2 * time.Second
	portsPerHost = 6
)

// services are those of the deployment in docs/design.md, with a twentieth of the slots and
// four times the service times, so that it fits on one machine.
var services = []struct {
	name  string
	hosts int
	slots int
}{
	{"batchlog", 4, 4},
	{"release", 3, 5},
	{"ledger", 3, 5},
	{"quality", 3, 2},
}

const (
	slotDivisor = 20
	timeFactor  = 4
	region      = "flanders"
)

var zones = []string{"flanders-a", "flanders-b", "flanders-c"}

// host is one upstream host with its node.
type host struct {
	id, zone, service        string
	slots                    int
	callers, egress, peers   string // listeners of the node
	operator                 string
	upstreamAddr, controlURL string
	listedAddr               string // peer address in the host list
	settings                 string // file
	node, upstream           *process
}

// deployment consists of the platform, the upstream hosts with their nodes, and
// the relay in front of one node.
type deployment struct {
	dir, bin     string
	publishedDir string // directory that the platform serves
	platform     *process
	hosts        []*host
	relay        *relay.Relay
	client       *http.Client
}

// newDeployment assigns addresses to all hosts and publishes the configuration.
func newDeployment(dir, bin, examples string) (*deployment, error) {
	d := &deployment{
		dir:          dir,
		bin:          bin,
		publishedDir: filepath.Join(dir, "published"),
		client:       &http.Client{Timeout: httpTimeout},
	}
	if err := d.assignAddresses(); err != nil {
		return nil, err
	}
	return d, d.publishConfig(examples)
}

func (d *deployment) assignAddresses() error {
	total := 0
	for _, s := range services {
		total += s.hosts
	}
	ports, err := freePorts(total * portsPerHost)
	if err != nil {
		return err
	}
	for _, s := range services {
		for i := range s.hosts {
			p := ports[:portsPerHost]
			ports = ports[portsPerHost:]
			d.hosts = append(d.hosts, &host{
				id:      fmt.Sprintf("%s-%d", s.name, i+1),
				zone:    zones[i%len(zones)],
				service: s.name,
				slots:   s.slots,
				callers: p[0], egress: p[1], peers: p[2], operator: p[3],
				listedAddr:   p[2],
				upstreamAddr: p[4], controlURL: "http://" + p[5],
			})
		}
	}
	return nil
}

func (d *deployment) host(id string) *host {
	for _, h := range d.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (d *deployment) program(name string) string { return filepath.Join(d.bin, name) }

// start starts the relay, the platform, the upstreams and the nodes, and waits
// until all nodes are ready.
func (d *deployment) start(ctx context.Context) error {
	if err := d.startRelay("ledger-2"); err != nil {
		return err
	}
	if err := d.publishHosts(); err != nil {
		return err
	}
	ports, err := freePorts(1)
	if err != nil {
		return err
	}
	platformAddr := ports[0]
	d.platform, err = startProcess(d.dir, "platform", d.program("standin"), "platform", "--addr", platformAddr, "--dir", d.publishedDir)
	if err != nil {
		return err
	}
	for _, h := range d.hosts {
		if err := d.startHost(h, platformAddr); err != nil {
			return err
		}
	}
	var exited error
	err = waitUntil(ctx, startTimeout, "nodes ready", func() bool {
		exited = d.checkRunning()
		return exited != nil || d.allNodes(d.ready)
	})
	return errors.Join(err, exited)
}

// checkRunning returns an error if a process of the deployment has exited.
func (d *deployment) checkRunning() error {
	err := d.platform.checkRunning()
	for _, h := range d.hosts {
		err = errors.Join(err, h.node.checkRunning(), h.upstream.checkRunning())
	}
	return err
}

// startRelay puts a relay in front of one node, so that connections to the node
// can be stalled.
func (d *deployment) startRelay(id string) error {
	h := d.host(id)
	r, err := relay.Listen("127.0.0.1:0", h.peers)
	if err != nil {
		return err
	}
	d.relay = r
	h.listedAddr = r.Addr()
	return nil
}

func (d *deployment) startHost(h *host, platformAddr string) error {
	var err error
	h.upstream, err = startProcess(d.dir, h.id+"-upstream", d.program("standin"), "upstream",
		"--addr", h.upstreamAddr, "--control", h.controlURL[len("http://"):], "--egress", "http://"+h.egress,
		"--service", h.service, "--slots", fmt.Sprint(h.slots), "--scale", fmt.Sprint(timeFactor))
	if err != nil {
		return err
	}
	h.settings = filepath.Join(d.dir, h.id+".toml")
	if err := os.WriteFile(h.settings, []byte(h.nodeSettings(platformAddr)), 0o600); err != nil {
		return err
	}
	return d.startNode(h, h.id)
}

func (d *deployment) startNode(h *host, logName string) error {
	var err error
	h.node, err = startProcess(d.dir, logName, d.program("toucangwd"), "-c", h.settings)
	return err
}

func (h *host) nodeSettings(platformAddr string) string {
	return fmt.Sprintf(`[host]
id = %q
region = %q
zone = %q
service = %q

[listen]
callers = %q
egress = %q
peers = %q
operator = %q

[upstream]
address = %q

[platform]
addresses = [%q]

[limits]
drain_timeout = "10s"
`, h.id, region, h.zone, h.service, h.callers, h.egress, h.peers, h.operator, h.upstreamAddr, platformAddr)
}

// stop terminates all processes and waits until they have exited.
func (d *deployment) stop() error {
	var all []*process
	for _, h := range d.hosts {
		all = append(all, h.node)
	}
	for _, h := range d.hosts {
		all = append(all, h.upstream)
	}
	all = append(all, d.platform)
	var errs []error
	for _, p := range all {
		if p != nil {
			p.signal(syscall.SIGTERM)
		}
	}
	for _, p := range all {
		if p == nil {
			continue
		}
		if err := p.wait(); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", p.name, err))
		}
	}
	if d.relay != nil {
		d.relay.Close()
	}
	d.client.CloseIdleConnections()
	return errors.Join(errs...)
}

func (d *deployment) allNodes(ok func(*host) bool) bool {
	for _, h := range d.hosts {
		if !ok(h) {
			return false
		}
	}
	return true
}

// ready reports whether a node is ready and knows all hosts.
func (d *deployment) ready(h *host) bool {
	s, err := d.status(h)
	return err == nil && s.Ready && len(s.Members) == len(d.hosts)
}

func (d *deployment) status(h *host) (operator.Status, error) {
	var s operator.Status
	return s, d.getJSON("http://"+h.operator+"/v1/status", &s)
}

func (d *deployment) counts(h *host) (upstream.Counts, error) {
	var c upstream.Counts
	return c, d.getJSON(h.controlURL+"/counts", &c)
}

func (d *deployment) getJSON(url string, target any) error {
	resp, err := d.client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(target)
}

// setMode sets the mode of all upstreams of a service, such as slow responses.
func (d *deployment) setMode(service string, m upstream.Mode) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	for _, h := range d.hosts {
		if h.service != service {
			continue
		}
		req, err := http.NewRequest(http.MethodPut, h.controlURL+"/mode", bytes.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := d.client.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("mode of %s: status %s", h.id, resp.Status)
		}
	}
	return nil
}
