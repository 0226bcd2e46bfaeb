package intake

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestIntake guards against a client that exhausts the bytes or the connections, a large request that starves a small one,
// and the end of a connection whose request was passed on.
func TestIntake(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Unix(1_700_000_000, 0)
		now := start
		var tab *Table[string]
		conns := map[string]*Conn[string]{}
		waiters := map[string]*Waiter[string]{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			describe := func(victims []Victim[string]) {
				slices.SortFunc(victims, func(a, b Victim[string]) int { return strings.Compare(a.Owner, b.Owner) })
				for _, v := range victims {
					fmt.Fprintf(&out, " gives up %s in phase %d", v.Owner, v.Phase)
				}
			}
			verdict := func(name string, v Verdict, w *Waiter[string], victims []Victim[string]) {
				out.WriteString([]string{"granted", "waits", "refused"}[v])
				describe(victims)
				waiters[name] = w
			}
			for _, line := range strings.Split(d.Input, "\n") {
				f := strings.Fields(line)
				if len(f) == 0 {
					continue
				}
				number := func(i int) int64 {
					n, err := strconv.ParseInt(f[i], 10, 64)
					if err != nil {
						t.Fatal(err)
					}
					return n
				}
				fmt.Fprintf(&out, "%s: ", line)
				switch f[0] {
				case "defaults": // memory, descriptors
					l, ok := DefaultLimits(int(number(1)), int(number(2)), 4)
					fmt.Fprintf(&out, "%d bytes, connections %v, stuck %v, %t", l.Bytes, l.Connections, l.Stuck, ok)
				case "table": // bytes, connections, stuck
					tab = New[string](Limits{
						Bytes: number(1), Connections: []int{int(number(2))}, Stuck: []int{int(number(3))}, Wait: defaultWait, Stall: defaultStall,
					})
				case "after":
					now = now.Add(time.Duration(number(1)) * time.Millisecond)
				case "open":
					c, victims := tab.Open(now, 0, f[1])
					fmt.Fprintf(&out, "%t", c != nil)
					describe(victims)
					conns[f[1]] = c
				case "close":
					tab.Close(conns[f[1]])
				case "enter":
					phases := map[string]Phase{"head": Head, "body": Body, "running": Running, "idle": Idle}
					fmt.Fprint(&out, tab.Enter(now, conns[f[1]], phases[f[2]]))
				case "progress":
					tab.Progress(now, conns[f[1]])
				case "acquire":
					v, w, victims := tab.Acquire(now, conns[f[1]], number(2)<<10)
					verdict(f[1], v, w, victims)
				case "begin":
					v, w, victims := tab.Begin(now, conns[f[1]])
					verdict(f[1], v, w, victims)
				case "respond":
					tab.Respond(now, conns[f[1]], number(2)<<10)
				case "cancel":
					fmt.Fprint(&out, tab.Cancel(waiters[f[1]]))
				case "release":
					tab.Release(conns[f[1]])
				case "sweep":
					describe(tab.Sweep(now))
				default:
					t.Fatalf("unknown command %q", f[0])
				}
				if tab != nil {
					n := tab.Counts(now)
					fmt.Fprintf(&out, " [%d KB, %d wait, %d open, %d stuck]", n.Held>>10, n.Waiting, n.Connections[0], n.Stuck[0])
				}
				out.WriteString("\n")
			}
			return out.String()
		})
	})
}

// TestBudget guards against messages of other VMs beyond the budget, and a refused one that is counted.
func TestBudget(t *testing.T) {
	b := NewBudget(10)
	got := []bool{b.Take(6), b.Take(6), b.Take(4)}
	if want := []bool{true, false, true}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	b.Return(10)
	if b.Held() != 0 || b.Refused() != 1 {
		t.Errorf("got %d held and %d refused, want 0 and 1", b.Held(), b.Refused())
	}
}

// TestNoByteBound guards against requests that are given up for the bytes they hold although bytes have no bound.
func TestNoByteBound(t *testing.T) {
	now := time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC)
	tab := New[string](Limits{Connections: []int{8}, Stuck: []int{4}, Wait: time.Second, Stall: time.Second})
	c, _ := tab.Open(now, Front, "slow upload")
	tab.Begin(now, c)
	if got := tab.Sweep(now.Add(time.Minute)); len(got) != 0 {
		t.Errorf("got %v given up, want none", got)
	}
}

// TestClosedBeforeHandler guards against bytes that are taken for a request whose connection was closed while its head was
// read, and never returned.
func TestClosedBeforeHandler(t *testing.T) {
	now := time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC)
	tab := New[string](Limits{Bytes: 1 << 20, Connections: []int{8}, Stuck: []int{4}, Wait: time.Second, Stall: time.Second})
	c, _ := tab.Open(now, Front, "idle")
	tab.Close(c)
	if v, _, _ := tab.Begin(now, c); v != Refused {
		t.Errorf("got verdict %v, want refused", v)
	}
	tab.Respond(now, c, 4096)
	if got := tab.Counts(now).Held; got != 0 {
		t.Errorf("got %d bytes held, want 0", got)
	}
}
