package team_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"pistachioshore.dev/team"
)

// TestScripts guards against a key that is taken for another team's, against definitions that are accepted although they
// contradict one another or would use up the memory of a VM, and against errors that show a key.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/team.txt", func(t *testing.T, d *datadriven.TestData) string {
		var definitions []team.Definition
		var lookups []string
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			f := strings.Fields(line)
			switch f[0] {
			case "team":
				definitions = append(definitions, parseTeam(f[1:]))
			case "teams": // a number of teams without keys
				var n int
				fmt.Sscan(f[1], &n)
				for i := range n {
					definitions = append(definitions, team.Definition{Team: team.Team{Name: fmt.Sprint("t", i)}})
				}
			case "long": // a team whose key has the given number of bytes
				var n int
				fmt.Sscan(f[2], &n)
				definitions = append(definitions, team.Definition{Team: team.Team{Name: f[1]}, Keys: []string{strings.Repeat("k", n)}})
			case "find":
				lookups = append(lookups, f[1])
			}
		}
		dir, err := team.NewDirectory(definitions)
		if err != nil {
			if strings.Contains(err.Error(), "secret") {
				t.Errorf("got the error %q, want one without the key", err)
			}
			return err.Error() + "\n"
		}
		var out strings.Builder
		for _, key := range lookups {
			found := dir.Lookup(team.Digest(key))
			if found == nil {
				fmt.Fprintf(&out, "%s: none\n", key)
				continue
			}
			fmt.Fprintf(&out, "%s: %s, priority %d, quota %+v, holds %t\n", key, found.Name, found.PriorityOr(5), found.Quota, dir.Holds(found.Name, team.Digest(key)))
		}
		return out.String()
	})
}

// parseTeam parses a name, keys separated by commas ("empty" for an empty one), a rate, a burst and possibly a priority.
func parseTeam(f []string) team.Definition {
	def := team.Definition{Team: team.Team{Name: strings.ReplaceAll(f[0], "_", " ")}}
	for _, key := range strings.Split(f[1], ",") {
		def.Keys = append(def.Keys, strings.TrimSuffix(key, "empty"))
	}
	fmt.Sscan(f[2], &def.Quota.Rate)
	fmt.Sscan(f[3], &def.Quota.Burst)
	if len(f) > 4 {
		var p int
		fmt.Sscan(f[4], &p)
		def.Priority = &p
	}
	return def
}

// ExampleDirectory_Holds shows that a key that was withdrawn no longer belongs to its team.
func ExampleDirectory_Holds() {
	before, _ := team.NewDirectory([]team.Definition{{Team: team.Team{Name: "salon"}, Keys: []string{"k1", "k2"}}})
	after, _ := team.NewDirectory([]team.Definition{{Team: team.Team{Name: "salon"}, Keys: []string{"k2"}}})
	fmt.Println(before.Holds("salon", team.Digest("k1")), after.Holds("salon", team.Digest("k1")))
	// Output: true false
}
