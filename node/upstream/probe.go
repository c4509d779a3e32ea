package upstream

import (
	"context"
	"net/http"
	"time"

	"toucangw.example/core/engine"
	"toucangw.example/node/http1"
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
	response, err := c.probes.DoIdempotent(ctx, c.addr, &http1.Request{Method: http.MethodGet, Target: path, Host: c.addr})
	if err != nil {
		return engine.HealthProbed{}
	}
	defer response.Close()
	_, _, _ = response.ReadBody(probeLimit)
	return engine.HealthProbed{
		Healthy:  response.Status == http.StatusOK,
		Draining: draining(response.Header),
	}
}
