package matrix

import (
	"context"
	"fmt"
	"time"

	"pistachioshore.dev/standin/upstream"
	"pistachioshore.dev/wire"
)

// A caller sends a poison request again and again, through one VM after the other.
const (
	poisonTries = 12
	poisonEvery = 120 * time.Millisecond
)

// poison has a request crash each upstream that runs it; it is a look-up or, in every second cell, an order.
func poison() act {
	set := func(c *cell, text string) error {
		return c.edit(everywhere, func(f *upstream.Faults) { f.Poison = text })
	}
	return act{
		begin: func(c *cell) error {
			text := fmt.Sprintf("poison-%d", c.number())
			if err := set(c, text); err != nil {
				return err
			}
			for n := range poisonTries {
				c.work.Go(func() { c.sendPoison(n, text) })
			}
			return nil
		},
		end: func(c *cell) error {
			c.work.Wait() // a late try must still meet the fault
			return set(c, "")
		},
	}
}

func (c *cell) sendPoison(n int, text string) {
	c.sleep(time.Duration(n) * poisonEvery)
	v := c.client.PickVM()
	if c.spec.order() {
		req := wire.OrderRequest{Route: orderRoute, Operation: orderRoute, Key: text, Quantity: 1}
		c.client.OrderVia(context.Background(), v, caller(c.number()), req)
		return
	}
	req := wire.QueryRequest{Route: lookupRoute, Filter: &wire.Filter{Contains: text}, Limit: 40}
	c.client.Query(context.Background(), v, caller(c.number()), req)
}
