package arm

import (
	"testing"

	"pistachioshore.dev/standin/sample"
)

// TestAdjustConfig guards against an arm that changes the configuration of the next arm: the sample configurations
// share one slice of routes, so AdjustConfig must clone it.
func TestAdjustConfig(t *testing.T) {
	a, err := Find("round-robin")
	if err != nil {
		t.Fatal(err)
	}
	cfg, _ := sample.Config("armor", 20_000)
	a.AdjustConfig(&cfg)
	if got := cfg.Routes[0].HedgeBudget; got != 0 {
		t.Errorf("got a hedge budget of %v in the arm's configuration, want 0", got)
	}
	fresh, _ := sample.Config("armor", 20_000)
	if got, want := fresh.Routes[0].HedgeBudget, 0.05; got != want {
		t.Errorf("got a hedge budget of %v in a fresh configuration, want %v", got, want)
	}
}
