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

// The deployment of docs/design.md with a twentieth of the slots and four times the
// service times, so that it fits on one machine.
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
	slotShare  = 20
	timeFactor = 4
	region     = "flanders"
)

var zones = []string{"flanders-a", "flanders-b", "flanders-c"}

// host is one upstream host with its node.
type host struct {
	id, zone, service        string
	slots                    int
	callers, egress, peers   string // listeners of the node
	operator                 string
	upstreamAddr, controlURL string
	published                string // address on the host list
	settings                 string // file
	node, upstream           *process
}

// fleet is the whole deployment.
type fleet struct {
	dir, bin  string
	published string // directory of the platform
	platform  *process
	hosts     []*host
	relay     *relay.Relay
	client    *http.Client
}

// newFleet lays out the deployment and writes its files.
func newFleet(dir, bin, examples string) (*fleet, error) {
	f := &fleet{
		dir:       dir,
		bin:       bin,
		published: filepath.Join(dir, "published"),
		client:    &http.Client{Timeout: httpTimeout},
	}
	if err := f.layOut(); err != nil {
		return nil, err
	}
	return f, f.publishConfig(examples)
}

func (f *fleet) layOut() error {
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
			f.hosts = append(f.hosts, &host{
				id:      fmt.Sprintf("%s-%d", s.name, i+1),
				zone:    zones[i%len(zones)],
				service: s.name,
				slots:   s.slots,
				callers: p[0], egress: p[1], peers: p[2], operator: p[3],
				published:    p[2],
				upstreamAddr: p[4], controlURL: "http://" + p[5],
			})
		}
	}
	return nil
}

func (f *fleet) host(id string) *host {
	for _, h := range f.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (f *fleet) program(name string) string { return filepath.Join(f.bin, name) }

// start starts the platform, the upstreams and the nodes, and waits until all
// nodes are ready.
func (f *fleet) start(ctx context.Context) error {
	if err := f.startRelay("ledger-2"); err != nil {
		return err
	}
	if err := f.publishHosts(); err != nil {
		return err
	}
	ports, err := freePorts(1)
	if err != nil {
		return err
	}
	platform := ports[0]
	f.platform, err = start(f.dir, "platform", f.program("standin"), "platform", "--addr", platform, "--dir", f.published)
	if err != nil {
		return err
	}
	for _, h := range f.hosts {
		if err := f.startHost(h, platform); err != nil {
			return err
		}
	}
	var ended error
	err = until(ctx, startTimeout, "nodes ready", func() bool {
		ended = f.anyEnded()
		return ended != nil || f.allNodes(f.ready)
	})
	return errors.Join(err, ended)
}

// anyEnded returns an error if a process of the fleet has ended.
func (f *fleet) anyEnded() error {
	err := f.platform.failed()
	for _, h := range f.hosts {
		err = errors.Join(err, h.node.failed(), h.upstream.failed())
	}
	return err
}

// startRelay puts a relay in front of one node, to make its connections silent.
func (f *fleet) startRelay(id string) error {
	h := f.host(id)
	r, err := relay.Listen("127.0.0.1:0", h.peers)
	if err != nil {
		return err
	}
	f.relay = r
	h.published = r.Addr()
	return nil
}

func (f *fleet) startHost(h *host, platform string) error {
	var err error
	h.upstream, err = start(f.dir, h.id+"-upstream", f.program("standin"), "upstream",
		"--addr", h.upstreamAddr, "--control", h.controlURL[len("http://"):], "--egress", "http://"+h.egress,
		"--service", h.service, "--slots", fmt.Sprint(h.slots), "--scale", fmt.Sprint(timeFactor))
	if err != nil {
		return err
	}
	h.settings = filepath.Join(f.dir, h.id+".toml")
	if err := os.WriteFile(h.settings, []byte(h.nodeSettings(platform)), 0o600); err != nil {
		return err
	}
	return f.startNode(h, h.id)
}

func (f *fleet) startNode(h *host, log string) error {
	var err error
	h.node, err = start(f.dir, log, f.program("toucangwd"), "-c", h.settings)
	return err
}

func (h *host) nodeSettings(platform string) string {
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
`, h.id, region, h.zone, h.service, h.callers, h.egress, h.peers, h.operator, h.upstreamAddr, platform)
}

// stop ends all processes by their ids.
func (f *fleet) stop() error {
	var all []*process
	for _, h := range f.hosts {
		all = append(all, h.node)
	}
	for _, h := range f.hosts {
		all = append(all, h.upstream)
	}
	all = append(all, f.platform)
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
	if f.relay != nil {
		f.relay.Close()
	}
	f.client.CloseIdleConnections()
	return errors.Join(errs...)
}

func (f *fleet) allNodes(ok func(*host) bool) bool {
	for _, h := range f.hosts {
		if !ok(h) {
			return false
		}
	}
	return true
}

// ready reports whether a node is ready and knows all hosts.
func (f *fleet) ready(h *host) bool {
	s, err := f.status(h)
	return err == nil && s.Ready && len(s.Members) == len(f.hosts)
}

func (f *fleet) status(h *host) (operator.Status, error) {
	var s operator.Status
	return s, f.getJSON("http://"+h.operator+"/v1/status", &s)
}

func (f *fleet) counts(h *host) (upstream.Counts, error) {
	var c upstream.Counts
	return c, f.getJSON(h.controlURL+"/counts", &c)
}

func (f *fleet) getJSON(url string, to any) error {
	resp, err := f.client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(to)
}

// setMode makes the upstreams of a service misbehave.
func (f *fleet) setMode(service string, m upstream.Mode) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	for _, h := range f.hosts {
		if h.service != service {
			continue
		}
		req, err := http.NewRequest(http.MethodPut, h.controlURL+"/mode", bytes.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := f.client.Do(req)
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
