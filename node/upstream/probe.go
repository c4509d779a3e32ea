package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"toucangw.example/core/engine"
)

// probeLimit bounds the bytes read from a response of the health endpoint.
const probeLimit = 4 << 10

// ProbeLoop probes the health endpoint until ctx is done. It calls path before
// each probe, since the configuration may change; an empty path skips the probe.
func (c *Client) ProbeLoop(ctx context.Context, path func() string, report func(engine.HealthProbed)) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if p := path(); p != "" {
			report(c.probe(ctx, p))
		}
	}
}

func (c *Client) probe(ctx context.Context, path string) engine.HealthProbed {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+path, nil)
	if err != nil {
		return engine.HealthProbed{}
	}
	resp, err := c.probes.Do(req)
	if err != nil {
		return engine.HealthProbed{}
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, probeLimit))
	return engine.HealthProbed{
		Healthy:  resp.StatusCode == http.StatusOK,
		Draining: draining(resp),
	}
}
