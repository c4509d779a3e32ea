package confsync

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"toucangw.example/core/gossip"
	"toucangw.example/node/http1"
)

const (
	// maxAnswerBytes limits the size of one answer of the platform, which holds
	// all values of a prefix, each up to a megabyte.
	maxAnswerBytes = 64 << 20
	// answerMargin is the time allowed for an answer beyond the wait that the
	// read requests.
	answerMargin = 3 * time.Second
	dialTimeout  = time.Second
	idleTimeout  = time.Minute
	// maxAnswerHead limits the head of an answer in bytes.
	maxAnswerHead = 32 << 10
)

// platformValue is one value in an answer of the platform.
type platformValue struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	SHA256   string `json:"sha256"`
	Body     string `json:"body"`
}

// platformAnswer is the answer to a read or watch of a prefix.
type platformAnswer struct {
	Revision uint64          `json:"revision"`
	Digest   string          `json:"digest"`
	Values   []platformValue `json:"values"`
	Deleted  []string        `json:"deleted"`
}

// decode converts the answer to the type of core/gossip.
func (a *platformAnswer) decode() (gossip.PlatformAnswer, error) {
	out := gossip.PlatformAnswer{Revision: a.Revision, Deleted: a.Deleted}
	if err := decodeSum(&out.Digest, a.Digest); err != nil {
		return out, fmt.Errorf("platform answer: digest: %w", err)
	}
	for _, v := range a.Values {
		value := gossip.Value{Name: v.Name, Revision: v.Revision, Body: []byte(v.Body)}
		if err := decodeSum(&value.Sum, v.SHA256); err != nil {
			return out, fmt.Errorf("platform answer: %s: sha256: %w", v.Name, err)
		}
		if len(v.Body) > gossip.MaxValueBytes {
			return out, fmt.Errorf("platform answer: %s has %d bytes, at most %d", v.Name, len(v.Body), gossip.MaxValueBytes)
		}
		out.Values = append(out.Values, value)
	}
	return out, nil
}

func decodeSum(sum *gossip.Digest, text string) error {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return err
	}
	if len(raw) != len(sum) {
		return fmt.Errorf("%d bytes instead of %d", len(raw), len(sum))
	}
	copy(sum[:], raw)
	return nil
}

// platformClient reads published values. It is safe for concurrent use.
type platformClient struct {
	addresses []string // IP:port
	pool      *http1.Pool
}

func newPlatformClient(addresses []string) *platformClient {
	return &platformClient{
		addresses: addresses,
		pool:      http1.NewPool(http1.PoolConfig{Dial: dialTimeout, Idle: idleTimeout, MaxHead: maxAnswerHead}),
	}
}

// read tries each address in turn, beginning with the one at index first, and
// returns the first answer.
func (c *platformClient) read(
	ctx context.Context, first int, r gossip.Read,
) (gossip.PlatformAnswer, error) {
	if len(c.addresses) == 0 {
		return gossip.PlatformAnswer{}, errors.New("no platform address is set")
	}
	var errs []error
	for i := range c.addresses {
		address := c.addresses[(first+i)%len(c.addresses)]
		answer, err := c.readFrom(ctx, address, r)
		if err == nil {
			return answer.decode()
		}
		errs = append(errs, err)
	}
	return gossip.PlatformAnswer{}, errors.Join(errs...)
}

func (c *platformClient) readFrom(
	ctx context.Context, address string, r gossip.Read,
) (*platformAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+answerMargin)
	defer cancel()
	query := url.Values{
		"prefix": {r.Prefix},
		"after":  {strconv.FormatUint(r.After, 10)},
		"wait":   {strconv.FormatFloat(r.Wait.Seconds(), 'f', -1, 64)},
		"bodies": {strconv.FormatBool(!r.RevisionOnly)},
	}
	response, err := c.pool.Get(ctx, address, "/v1/values?"+query.Encode(), maxAnswerBytes)
	if err != nil {
		return nil, fmt.Errorf("read platform %s: %w", address, err)
	}
	if response.Status != http.StatusOK {
		return nil, fmt.Errorf("read platform %s: status %d", address, response.Status)
	}
	var answer platformAnswer
	if err := json.Unmarshal(response.Body, &answer); err != nil {
		return nil, fmt.Errorf("read platform %s: %w", address, err)
	}
	return &answer, nil
}
