package sample

import (
	"time"

	"pistachioshore.dev/wire"
)

// groupSpec describes a group of identical services.
type groupSpec struct {
	group       string
	services    int
	servers     int
	slots       int
	connections int
	connectTime time.Duration
}

// firm describes the default configuration of a firm.
type firm struct {
	zones  []string
	groups []groupSpec
	routes []wire.RouteSettings
}

var firms = map[string]firm{
	"armor": {
		zones: []string{"brest-nord", "angers-est", "cherbourg-sud"},
		groups: []groupSpec{
			{"chiffrage", 20, 2, 3, 30, 6 * time.Millisecond},
			{"tournees", 30, 2, 3, 30, 6 * time.Millisecond},
			{"suivi-chantier", 1, 9, 6, 100, time.Millisecond},
			{"relances-clients", 1, 4, 6, 100, time.Millisecond},
		},
		routes: []wire.RouteSettings{
			{
				Name: "breakdown-lookup", Class: "urgent", Groups: []string{"chiffrage", "tournees"}, Idempotent: true,
				Deadline: "400ms", MinimumCoverage: 0.9, StragglerWait: "80ms", HedgeBudget: 0.05, RetryBudget: 0.1,
			},
			{
				Name: "job-lookup", Class: "normal", Groups: []string{"tournees", "suivi-chantier"}, Idempotent: true,
				Deadline: "600ms", MinimumCoverage: 0.9, StragglerWait: "200ms", HedgeBudget: 0.05, RetryBudget: 0.1,
			},
			{
				Name: "client-reminder", Class: "background", Groups: []string{"relances-clients"}, Idempotent: true,
				Deadline: "1s", MinimumCoverage: 1, StragglerWait: "1s", HedgeBudget: 0.02, RetryBudget: 0.1,
			},
			{
				Name: "pump-order", Class: "urgent", Groups: []string{"suivi-chantier"}, Idempotent: false,
				Deadline: "2s", MinimumCoverage: 1, StragglerWait: "2s", HedgeBudget: 0, RetryBudget: 0.1,
			},
		},
	},
	"hronec": {
		zones: []string{"banska-hall", "zilina-coat", "kosice-office"},
		groups: []groupSpec{
			{"workshop-ledger", 20, 2, 2, 25, 6 * time.Millisecond},
			{"order-desk", 30, 2, 2, 25, 6 * time.Millisecond},
			{"cert-archive", 1, 9, 3, 40, time.Millisecond},
			{"pitch-stock", 1, 4, 3, 40, time.Millisecond},
		},
		routes: []wire.RouteSettings{
			{
				Name: "reject-check", Class: "urgent", Groups: []string{"workshop-ledger"}, Idempotent: true,
				Deadline: "800ms", MinimumCoverage: 1, StragglerWait: "800ms", HedgeBudget: 0.05, RetryBudget: 0.1,
			},
			{
				Name: "lens-blank-lookup", Class: "normal", Groups: []string{"workshop-ledger", "order-desk"}, Idempotent: true,
				Deadline: "800ms", MinimumCoverage: 0.95, StragglerWait: "400ms", HedgeBudget: 0.05, RetryBudget: 0.1,
			},
			{
				Name: "stock-lookup", Class: "background", Groups: []string{"pitch-stock"}, Idempotent: true,
				Deadline: "1s", MinimumCoverage: 1, StragglerWait: "1s", HedgeBudget: 0.02, RetryBudget: 0.1,
			},
			{
				Name: "certificate-reprint", Class: "normal", Groups: []string{"cert-archive"}, Idempotent: false,
				Deadline: "2s", MinimumCoverage: 1, StragglerWait: "2s", HedgeBudget: 0, RetryBudget: 0.1,
			},
		},
	},
}
