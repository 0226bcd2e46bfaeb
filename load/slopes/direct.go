package slopes

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/record"
	"pistachioshore.dev/result"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/transport/rest"
)

// directDeadline limits a direct call.
const directDeadline = 2 * time.Second

// directCaller calls all shards of a group in parallel, each over a separate connection, and merges the results.
// It is the baseline of the measurement, because every tier has to do at least this work.
type directCaller struct {
	shards     []catalog.Shard
	conns      []transport.Conn
	callNumber int
}

func newDirectCaller(ctx context.Context, cfg *catalog.Config, group string) (*directCaller, error) {
	shards, ok := cfg.Shards(cfg.CurrentSnapshot, []string{group})
	if !ok {
		return nil, errors.New("the current snapshot has no shard map")
	}
	d, client := &directCaller{shards: shards}, rest.New()
	for i, s := range shards {
		svc, ok := cfg.Service(s.Service)
		if !ok {
			return nil, errors.Newf("unknown service %q", s.Service)
		}
		conn, err := client.Connect(ctx, svc.Servers[i/2%len(svc.Servers)].Address)
		if err != nil {
			return nil, errors.Wrap(err, "connect")
		}
		d.conns = append(d.conns, conn)
	}
	return d, nil
}

func (d *directCaller) callShards(ctx context.Context) error {
	d.callNumber++
	deadline := time.Now().Add(directDeadline)
	parts := make([][]record.Record, len(d.shards))
	var failed atomic.Int64
	var wg sync.WaitGroup
	for i, s := range d.shards {
		wg.Go(func() {
			r := d.conns[i].Do(ctx, transport.Call{
				RequestID: fmt.Sprintf("direct-%d/%s", d.callNumber, s.Name), Attempt: 1, Deadline: deadline, Snapshot: 1,
				Shard: s.Name, Limit: fanOutLimit,
			})
			if r.Code != result.Complete {
				failed.Add(1)
			}
			parts[i] = r.Records
		})
	}
	wg.Wait()
	record.Merge(parts, fanOutLimit)
	if n := failed.Load(); n > 0 {
		return errors.Newf("%d of %d direct calls failed", n, len(d.shards))
	}
	return nil
}

func (d *directCaller) close() {
	for _, c := range d.conns {
		_ = c.Close()
	}
}

// quantile returns the q-quantile of the values without interpolation, so that it is one of them.
func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
