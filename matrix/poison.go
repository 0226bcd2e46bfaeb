package matrix

import (
	"context"
	"fmt"
	"time"

	"pistachioshore.dev/standin/upstream"
	"pistachioshore.dev/wire"
)

// Number and interval of the poison requests, which go to one VM after another.
const (
	poisonRequestCount = 12
	poisonInterval     = 120 * time.Millisecond
)

// poisonRequest sends a request that crashes each upstream that runs it, a look-up or, in every second cell, an order.
func poisonRequest() injector {
	set := func(c *cellRun, text string) error {
		return c.editFaults(allUpstreams, func(f *upstream.Faults) { f.Poison = text })
	}
	return injector{
		inject: func(c *cellRun) error {
			text := fmt.Sprintf("poison-%d", c.nextNumber())
			if err := set(c, text); err != nil {
				return err
			}
			for n := range poisonRequestCount {
				c.background.Go(func() { c.sendPoison(n, text) })
			}
			return nil
		},
		remove: func(c *cellRun) error {
			c.background.Wait() // the last requests must still meet the fault
			return set(c, "")
		},
	}
}

func (c *cellRun) sendPoison(n int, text string) {
	c.sleep(time.Duration(n) * poisonInterval)
	v := c.client.PickVM()
	if c.spec.watchesOrder() {
		req := wire.OrderRequest{Route: orderRoute, Operation: orderRoute, Key: text, Quantity: 1}
		c.client.OrderVia(context.Background(), v, callerName(c.nextNumber()), req)
		return
	}
	req := wire.QueryRequest{Route: lookupRoute, Filter: &wire.Filter{Contains: text}, Limit: 40}
	c.client.Query(context.Background(), v, callerName(c.nextNumber()), req)
}
