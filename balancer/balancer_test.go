package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/balancer"
	"pistachioshore.dev/balancer/outcome"
	"pistachioshore.dev/balancer/roundrobin"
	"pistachioshore.dev/balancer/twochoices"
	"pistachioshore.dev/gather"
)

var _ gather.Chooser = (*balancer.Chooser)(nil)

// scriptChooser runs script commands against one policy. Its fixed seed makes the shares reproducible.
type scriptChooser struct {
	*balancer.Chooser
	now time.Time
	r   *rand.Rand
}

func newScriptChooser(policy string) *scriptChooser {
	p := map[string]balancer.Policy[string]{
		"outcome": outcome.New[string](), "roundrobin": roundrobin.New[string](), "twochoices": twochoices.New[string](),
	}[policy]
	latency := balancer.NewLatencyEstimator(balancer.DefaultLatencySettings())
	return &scriptChooser{balancer.NewChooser(p, latency), time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))}
}

// countChoices returns how often each candidate is chosen in 1000 sequential attempts.
func (c *scriptChooser) countChoices(candidates string) string {
	count := map[string]int{}
	for range 1000 {
		server := c.Choose(c.now, c.r, strings.Split(candidates, ","))
		c.Observe(c.now, "none", server, balancer.Observation{Cancelled: true})
		count[server]++
	}
	return fmt.Sprint(count)
}

// observe records n outcomes at a rate of 100 per second; result is ok, shed, cancelled or failed.
func (c *scriptChooser) observe(server, result string, elapsed time.Duration, load, n int) {
	o := balancer.Observation{Elapsed: elapsed, QueueLength: load, ReportedLoad: load}
	o.OK, o.Shed, o.Cancelled = result == "ok", result == "shed", result == "cancelled"
	for range n {
		c.now = c.now.Add(10 * time.Millisecond)
		c.Observe(c.now, "group", server, o)
	}
}

// TestScripts guards against policies that send too many or too few attempts to slow, failing or
// misreporting candidates, and against wrong percentiles for hedges and retries.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var c *scriptChooser
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			c = newScriptChooser(d.Cmd)
			return regexp.MustCompile(`[^;\n]+`).ReplaceAllStringFunc(d.Input, func(command string) string {
				var cmd, name, wait string
				var load, n int
				fmt.Sscan(command, &cmd, &name, &wait, &load, &n)
				elapsed, _ := time.ParseDuration(wait)
				switch cmd {
				case "shares":
					return " " + c.countChoices(name)
				case "start":
					fmt.Sscan(wait, &n)
					for ; n > 1; n-- {
						c.Choose(c.now, c.r, strings.Split(name, ","))
					}
					return " " + c.Choose(c.now, c.r, strings.Split(name, ","))
				case "after":
					wait, _ := time.ParseDuration(name)
					c.now = c.now.Add(wait)
				case "times":
					return fmt.Sprint(" ", c.HedgeDelay("group"), " ", c.MedianLatency("group"))
				case "queued":
					return fmt.Sprint(" ", c.HasQueue(name))
				default:
					c.observe(cmd, name, elapsed, load, max(n, 1))
				}
				return " -"
			})
		})
	})
}
