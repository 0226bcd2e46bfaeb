package sample

import (
	"reflect"
	"testing"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/record"
)

func parseConfig(t *testing.T, firm string, opts ...Option) *catalog.Config {
	doc, _ := Config(firm, 21000, opts...)
	text, err := YAML(doc)
	if err != nil {
		t.Fatal(err)
	}
	cfg, faults := codec.ParseConfig(text)
	if len(faults) > 0 {
		t.Fatalf("%s: %v", firm, faults[0])
	}
	return cfg
}

// loadSnapshot returns every record of a snapshot by key and the service of each shard. It checks that each
// record lies in exactly one shard and states its snapshot.
func loadSnapshot(t *testing.T, cfg *catalog.Config, snapshot uint64) (byKey map[string]record.Record, services map[string]string) {
	byKey, services = map[string]record.Record{}, map[string]string{}
	for _, g := range cfg.Groups {
		shards, _ := cfg.Shards(snapshot, []string{g.Name})
		for _, s := range shards {
			services[s.Name] = s.Service
			records, ok := Loader(cfg, s.Service)(s.Name, snapshot)
			if !ok || len(records) == 0 {
				t.Errorf("service %s does not hold shard %s of snapshot %d", s.Service, s.Name, snapshot)
			}
			for _, r := range records {
				if _, twice := byKey[r.Key]; twice || r.Key < s.From || r.Key >= s.To {
					t.Errorf("record %s is in two shards or outside of shard %s", r.Key, s.Name)
				}
				if version, ok := SnapshotOf(r); !ok || version != snapshot {
					t.Errorf("record %s: got snapshot %d, want %d", r.Key, version, snapshot)
				}
				byKey[r.Key] = r
			}
		}
	}
	return byKey, services
}

// TestRepartition guards against a second layout that loses or changes records as it moves and splits shards, and
// against a service that still serves a shard that was moved away.
func TestRepartition(t *testing.T) {
	for _, firm := range Firms() {
		before := parseConfig(t, firm, WithSnapshots(3))
		records, services := loadSnapshot(t, before, 3)
		first := parseConfig(t, firm, WithSnapshots(1, 2))
		if got, want := len(records), len(first.Layouts[0].Shards)*recordsPerRange; got != want {
			t.Errorf("%s: got %d records, want %d", firm, got, want)
		}
		again, _ := loadSnapshot(t, before, 3)
		if !reflect.DeepEqual(records, again) {
			t.Errorf("%s: a snapshot's records differ between two reads", firm)
		}
		moved := 0
		for _, s := range first.Layouts[0].Shards {
			if services[s.Name] == s.Service {
				continue
			}
			moved++
			if _, ok := Loader(before, s.Service)(s.Name, 3); ok {
				t.Errorf("%s: service %s still holds shard %s", firm, s.Service, s.Name)
			}
		}
		if got, want := moved, 10; got != want {
			t.Errorf("%s: got %d moved shards, want %d", firm, got, want)
		}
		if got, want := len(services), len(first.Layouts[0].Shards)+10; got != want {
			t.Errorf("%s: got %d shards, want %d", firm, got, want)
		}
	}
}

// TestSizes guards against numbers of servers and cold-start limits that differ from the requirements of both firms.
func TestSizes(t *testing.T) {
	for _, firm := range Firms() {
		cfg := parseConfig(t, firm)
		servers := 0
		for _, g := range cfg.Groups {
			if got, want := g.ColdLimit, max(1, g.Slots/3); got != want {
				t.Errorf("%s %s: got cold limit %d, want %d", firm, g.Name, got, want)
			}
			servers += len(g.Services) * len(g.Services[0].Servers)
		}
		if got, want := servers, 20*2+30*2+9+4; got != want {
			t.Errorf("%s: got %d servers, want %d", firm, got, want)
		}
	}
}
