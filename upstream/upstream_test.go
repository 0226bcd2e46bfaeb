package upstream_test

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"pistachioshore.dev/catalog"
	"pistachioshore.dev/result"
	"pistachioshore.dev/upstream"
)

const name = "ledger-1a"

var epoch = time.Unix(1000, 0)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// config returns a configuration whose only upstream belongs to the group.
func config(g catalog.Group, drained, leaving bool) *catalog.Config {
	server := catalog.Server{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:7000"), Zone: "banska-hall", Leaving: leaving}
	g.Services = []catalog.Service{{Name: "ledger-1", Servers: []catalog.Server{server}}}
	cfg := &catalog.Config{Zones: []catalog.Zone{{Name: "banska-hall", Drained: drained}}, Groups: []catalog.Group{g}}
	cfg.Limits.QueueLength = 3
	cfg.BuildIndex()
	return cfg
}

// script runs commands against one table. Each line of output shows the effects of one line of
// commands.
type script struct {
	*datadriven.TestData
	t      *testing.T
	tab    *upstream.Table[string]
	now    time.Time
	starts map[int]upstream.StartedJob[string]
}

// TestScripts guards against broken rules of admission, release, connection limits, warm-up and
// handover, which the comments in testdata state.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/rules.txt", func(t *testing.T, d *datadriven.TestData) (out string) {
		s := &script{t: t, tab: upstream.New[string](upstream.DefaultSettings()), now: epoch, starts: map[int]upstream.StartedJob[string]{}}
		for line := range strings.Lines(d.Input) {
			for part := range strings.SplitSeq(line, ";") {
				cmd, args, _ := datadriven.ParseLine(strings.TrimSpace(part))
				s.TestData = &datadriven.TestData{Cmd: cmd, CmdArgs: args}
				s.now = s.now.Add(ms(arg(s, "after", 0)))
				out += s.run(arg(s, "id", 0))
			}
			out = strings.TrimSuffix(out, "; ") + "\n"
		}
		return out
	})
}

func arg[T any](s *script, key string, value T) T {
	s.MaybeScanArgs(s.t, key, &value)
	return value
}

func (s *script) run(id int) string {
	key := upstream.AttemptKey{ID: uint64(id)}
	ref := upstream.ConnRef{Upstream: name, Conn: s.starts[id].Conn}
	switch s.Cmd {
	case "config":
		g := catalog.Group{Slots: 4, ColdLimit: arg(s, "cold", 1), WarmAfter: 2, MaxConnections: arg(s, "conns", 100)}
		return s.describe(s.tab.Configure(s.now, config(g, s.HasArg("out"), s.HasArg("leaving")), 3))
	case "tick":
		return s.describe(s.tab.Tick(s.now))
	case "adopt":
		h := upstream.Handover{Incarnation: arg(s, "inc", ""), Limit: arg(s, "limit", 0), Running: arg(s, "running", 0)}
		h.RunningUntil = s.now.Add(ms(100))
		return s.describe(s.tab.AcquireOwnership(s.now, name, h))
	case "release":
		h, actions := s.tab.ReleaseOwnership(s.now, name)
		return s.describe(actions) + fmt.Sprintf("inc=%s limit=%d finished=%d running=%d; ", h.Incarnation, h.Limit, h.AnswersAtLimit, h.Running)
	case "enqueue":
		job := upstream.Job[string]{Key: key, Deadline: s.now.Add(ms(arg(s, "in", 500)))}
		job.Class, _ = catalog.ParseClass(arg(s, "class", "normal"))
		return s.describe(s.tab.Enqueue(s.now, name, job))
	case "cancel":
		return s.describe(s.tab.Cancel(s.now, key))
	case "lost":
		return s.describe(s.tab.ConnectionLost(s.now, ref))
	case "view":
		v := s.tab.Statuses(s.now)[0]
		return fmt.Sprintf("limit=%d running=%d queued=%d verified=%d/%d; ", v.Limit, v.Running, v.Queued, v.VerifiedConnections, v.Connections)
	}
	o := upstream.Outcome{Upstream: name, Conn: ref.Conn, Key: key, Connected: s.Cmd != "refused", Elapsed: ms(100)}
	o.Code = map[string]result.Code{
		"complete": result.Complete, "refused": result.Unreachable, "unreachable": result.Unreachable, "late": result.Late,
		"connection-lost": result.ConnectionLost, "upstream-shed": result.UpstreamShed,
	}[s.Cmd]
	o.Incarnation = arg(s, "inc", "")
	f := s.tab.Finish(s.now, o)
	return s.describe(f.Actions) + map[bool]string{true: "crashed; "}[f.SuspectedCrash]
}

func (s *script) describe(actions upstream.Actions[string]) (out string) {
	for _, c := range actions.Close {
		out += fmt.Sprintf("close c%d; ", c.Conn)
	}
	for _, r := range actions.Refuse {
		out += fmt.Sprintf("refuse %d %s; ", r.Job.Key.ID, r.Code)
	}
	for _, st := range actions.Start {
		s.starts[int(st.Job.Key.ID)] = st
		out += fmt.Sprintf("start %d c%d%s; ", st.Job.Key.ID, st.Conn, map[bool]string{true: " connect"}[st.Connect])
	}
	for _, st := range actions.Cancel {
		out += fmt.Sprintf("cancel %d; ", st.Job.Key.ID)
	}
	return out
}

// call is a started job that is in flight between a table and the simulated upstream.
type call struct {
	upstream.StartedJob[int]
	owner   int // index of the table that started it
	process int // process at the other end of its connection, 0 until the connection is open
	runs    bool
	code    result.Code // code of the answer, 0 until there is one
	done    bool        // the table has its outcome; the upstream may still run it
}

// model simulates an upstream that restarts, sheds load, refuses connections and loses answers, and
// two VMs that hand it over to each other.
type model struct {
	*rapid.T
	tables                          [2]*upstream.Table[int]
	conns                           [2]map[upstream.ConnID]int // process at the other end of each open connection
	group                           catalog.Group
	now, ticked                     time.Time
	owner                           int
	process, answers, connsToRefuse int // number of the process, its answers, connections to refuse
	calls                           []*call
	jobs, decidedJobs               []uint64 // IDs of all jobs, and of those that were started or refused
}

// TestModel guards against work above the limit of a process that is warming up, too many connections,
// forbidden starts, and jobs that are started or refused twice or never.
func TestModel(t *testing.T) {
	_ = flag.Set("rapid.checks", "1000") // a wrong reaction to a restart shows only in rare states, after some hundred runs
	_ = flag.Set("rapid.steps", "300")
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, now: epoch, process: 1}
		between := func(from, to int) int { return rapid.IntRange(from, to).Draw(t, "limit") }
		m.group = catalog.Group{Slots: between(1, 5), ColdLimit: between(1, 2), WarmAfter: between(1, 2), MaxConnections: between(6, 30)}
		for i := range m.tables {
			m.tables[i] = upstream.New[int](upstream.DefaultSettings())
			m.conns[i] = map[upstream.ConnID]int{}
			m.tables[i].Configure(m.now, config(m.group, false, false), 2)
		}
		m.apply(0, m.tables[0].AcquireOwnership(m.now, name, upstream.Handover{}))
		actions := map[string]func(*rapid.T){"pass": func(t *rapid.T) { m.advance(ms(rapid.IntRange(1, 100).Draw(t, "ms"))) }}
		for i, fault := range []func(*rapid.T){m.restart, m.handOver, m.abandonCalls, m.pause, m.restart, m.handOver, m.abandonCalls} {
			actions[fmt.Sprint("course ", i)] = m.advanceCalls // sorts first and is drawn most often, because rapid prefers low indexes
			actions[fmt.Sprint("enqueue ", i)] = m.enqueue
			actions[fmt.Sprint("fault ", i)] = func(t *rapid.T) {
				if !slices.Contains(rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(t, "one in eight"), false) {
					fault(t)
				}
			}
		}
		t.Repeat(actions)
		m.finishAll()
	})
}

// apply carries out the actions that a table asks for.
func (m *model) apply(owner int, actions upstream.Actions[int]) {
	for _, c := range actions.Close {
		delete(m.conns[owner], c.Conn)
	}
	for _, r := range actions.Refuse {
		m.decidedJobs = append(m.decidedJobs, r.Job.Key.ID)
	}
	for _, st := range actions.Start {
		m.decidedJobs = append(m.decidedJobs, st.Job.Key.ID)
		m.recordStart(owner, st)
	}
}

// recordStart records a started job and checks that the table was allowed to start it.
func (m *model) recordStart(owner int, st upstream.StartedJob[int]) {
	m.calls = append(m.calls, &call{StartedJob: st, owner: owner, process: m.conns[owner][st.Conn]})
	m.conns[owner][st.Conn] += 0
	m.atMost("open connections", len(m.conns[owner]), max(1, min(m.group.MaxConnections/3, m.group.Slots+1)))
	m.atMost("running jobs", len(m.matching(func(c *call) bool { return !c.done && c.owner == owner })), m.group.Slots)
	if owner != m.owner || !m.now.Before(st.Job.Deadline) || m.now.Sub(m.ticked) > time.Second {
		m.Fatalf("forbidden start of %d", st.Job.Key.ID)
	}
}

func (m *model) atMost(what string, got, want int) {
	if got > want {
		m.Fatalf("%d %s, want at most %d", got, what, want)
	}
}

func (m *model) matching(match func(*call) bool) []*call {
	return slices.DeleteFunc(slices.Clone(m.calls), func(c *call) bool { return !match(c) })
}

func (m *model) enqueue(t *rapid.T) {
	class := catalog.Class(rapid.IntRange(0, 2).Draw(t, "class"))
	deadline := m.now.Add(ms(rapid.SampledFrom([]int{300, 100, 40, 0}).Draw(t, "deadline")))
	for range rapid.IntRange(1, 4).Draw(t, "jobs") {
		m.jobs = append(m.jobs, uint64(len(m.jobs)))
		key := upstream.AttemptKey{ID: uint64(len(m.jobs) - 1)}
		m.apply(m.owner, m.tables[m.owner].Enqueue(m.now, name, upstream.Job[int]{Key: key, Class: class, Deadline: deadline}))
	}
}

// advanceCalls advances some of the calls by one step.
func (m *model) advanceCalls(t *rapid.T) {
	calls := m.matching(func(c *call) bool { return !c.done || c.code == 0 })
	for _, c := range calls[min(len(calls), rapid.IntRange(0, 5).Draw(t, "first")):] {
		m.advanceCall(t, c)
	}
}

// advanceCall advances a call by one step: connect, run, answer, or report the outcome to the table.
func (m *model) advanceCall(t *rapid.T, c *call) {
	switch {
	case c.process == 0 && m.connsToRefuse > 0:
		m.connsToRefuse--
		m.finishCall(c, result.Unreachable)
	case c.process == 0:
		c.process = m.process
		m.conns[c.owner][c.Conn] = m.process
	case c.code != 0:
		m.finishCall(c, c.code)
	case !m.now.Before(c.Job.Deadline):
		c.code = result.Late
	case c.process != m.process:
		c.code = result.ConnectionLost
	case !c.runs && rapid.IntRange(0, 9).Draw(t, "shed") == 9:
		c.code = result.UpstreamShed
	case !c.runs:
		c.runs = true
		runs := func(c *call) bool {
			return c.runs && c.code == 0 && c.process == m.process && m.now.Before(c.Job.Deadline)
		}
		m.atMost("requests at the process", len(m.matching(runs)), min(m.group.Slots, m.group.ColdLimit<<min(m.answers/m.group.WarmAfter, 8)))
	default:
		c.code = result.Complete
		m.answers++
	}
}

// finishCall reports the outcome of a call to the table that started it.
func (m *model) finishCall(c *call, code result.Code) {
	if c.done {
		return
	}
	c.done = true
	o := upstream.Outcome{Upstream: name, Conn: c.Conn, Key: c.Job.Key, Code: code, Connected: c.process != 0, Elapsed: ms(1)}
	if code == result.Complete || code == result.UpstreamShed {
		o.Incarnation = fmt.Sprint(c.process)
	}
	if !o.Connected {
		c.code = code
		delete(m.conns[c.owner], c.Conn)
	}
	m.apply(c.owner, m.tables[c.owner].Finish(m.now, o).Actions)
}

// abandonCalls ends some calls at their owner VM while the upstream may still run them.
func (m *model) abandonCalls(t *rapid.T) {
	code := rapid.SampledFrom([]result.Code{result.ConnectionLost, result.Late}).Draw(t, "code")
	calls := m.matching(func(c *call) bool { return !c.done })
	for _, c := range calls[min(len(calls), rapid.IntRange(0, 3).Draw(t, "first")):] {
		m.finishCall(c, code)
	}
}

// restart replaces the process of the upstream, which then refuses some connections.
func (m *model) restart(t *rapid.T) {
	m.process, m.answers = m.process+1, 0
	m.connsToRefuse = rapid.IntRange(0, 3).Draw(t, "down")
}

// advance advances the time and ticks both tables.
func (m *model) advance(d time.Duration) {
	m.now, m.ticked = m.now.Add(d), m.now.Add(d)
	for i, tab := range m.tables {
		m.apply(i, tab.Tick(m.now))
	}
}

// handOver moves ownership to the other table with a handover.
func (m *model) handOver(*rapid.T) {
	h, actions := m.tables[m.owner].ReleaseOwnership(m.now, name)
	m.apply(m.owner, actions)
	m.owner = 1 - m.owner
	m.apply(m.owner, m.tables[m.owner].AcquireOwnership(m.now, name, h))
}

// pause stops the owner VM for longer than its fence timeout. It drops all ownership, and after the
// takeover delay the other VM acquires the upstream.
func (m *model) pause(t *rapid.T) {
	m.now = m.now.Add(ms(1001))
	m.enqueue(t)
	m.apply(m.owner, m.tables[m.owner].DropAllOwnership(m.now))
	m.advance(3 * time.Second)
	m.owner = 1 - m.owner
	m.apply(m.owner, m.tables[m.owner].AcquireOwnership(m.now, name, upstream.Handover{}))
}

// finishAll finishes all calls and checks that each job was started or refused exactly once.
func (m *model) finishAll() {
	m.advance(3 * time.Second)
	for i := 0; i < len(m.calls); i++ {
		m.finishCall(m.calls[i], result.Late)
	}
	slices.Sort(m.decidedJobs)
	if left := m.tables[0].RunningJobs(m.now) + m.tables[1].RunningJobs(m.now); left > 0 || !slices.Equal(m.decidedJobs, m.jobs) {
		m.Fatalf("%d jobs still run, got %v started or refused, want each of %d jobs once", left, m.decidedJobs, len(m.jobs))
	}
}
