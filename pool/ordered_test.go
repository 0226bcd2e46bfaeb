package pool

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestOrdered guards against urgent tasks that wait behind less urgent ones, and against tasks of the least priority that
// never run because more urgent ones keep arriving. The time is that of the test's bubble.
func TestOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var order []string
		release := make(chan struct{})
		p := NewOrdered(1, 10*time.Millisecond, func(name string) {
			if name == "blocker" {
				<-release
				return
			}
			order = append(order, name)
		})
		p.Submit("blocker")
		synctest.Wait()
		p.SubmitPriority(2, "least, old") // 20 ms behind tasks of priority 0
		time.Sleep(15 * time.Millisecond)
		p.SubmitPriority(1, "middle")
		p.SubmitPriority(100, "least, new")
		p.Submit("urgent")
		time.Sleep(12 * time.Millisecond)
		p.Submit("urgent, later")
		close(release)
		p.Stop()
		want := []string{"urgent", "least, old", "middle", "urgent, later", "least, new"}
		if !slices.Equal(order, want) {
			t.Errorf("got order %q, want %q", order, want)
		}
	})
}
