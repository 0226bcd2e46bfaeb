package budget_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/budget"
	"pistachioshore.dev/catalog"
)

// TestShedder guards against shedding a class before the less urgent ones, and against shedding that continues after an
// overload.
func TestShedder(t *testing.T) {
	now := time.Unix(1000, 0)
	s := budget.NewShedder()
	r := rand.New(rand.NewPCG(1, 1))
	datadriven.RunTest(t, "testdata/shedder.txt", func(_ *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var intervals int
			var lost float64
			fmt.Sscanf(line, "after %d %f", &intervals, &lost)
			for range intervals {
				s.Observe(now, 1000, int(1000*lost))
				now = now.Add(100 * time.Millisecond)
			}
			for class := catalog.Urgent; class <= catalog.Background; class++ {
				refused := 0
				for range 1000 {
					if !s.Admit(now, class, r) {
						refused++
					}
				}
				fmt.Fprintf(&out, "%s %.1f ", class, float64(refused)/1000)
			}
			fmt.Fprintf(&out, "level %.2f\n", s.Level())
		}
		return out.String()
	})
}
