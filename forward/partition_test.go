package forward

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestPartition guards against shards that are fanned out twice or not at all, against parts for zones that have no
// aggregator or no replica, and against parts that are too large for one VM or too small for a message.
func TestPartition(t *testing.T) {
	datadriven.RunTest(t, "testdata/partition.txt", func(t *testing.T, d *datadriven.TestData) string {
		p := partitioner{}
		d.ScanArgs(t, "zone", &p.zone)
		d.MaybeScanArgs(t, "remote", &p.remote)
		p.fansOut = d.HasArg("fans-out")
		var zones [][]string
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			count, list, _ := strings.Cut(line, " ")
			var n int
			fmt.Sscan(count, &n)
			for range n {
				zones = append(zones, strings.Fields(list))
			}
		}
		var out strings.Builder
		seen := map[int]int{}
		for _, part := range p.partition(zones) {
			fmt.Fprintf(&out, "%d shards by %q, first %d\n", len(part.shards), part.zone, part.shards[0])
			for _, i := range part.shards {
				seen[i]++
			}
		}
		for i := range zones {
			if seen[i] != 1 {
				t.Errorf("shard %d is in %d parts, want 1", i, seen[i])
			}
		}
		return out.String()
	})
}
