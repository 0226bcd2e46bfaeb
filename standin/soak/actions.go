package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"pistachioshore.dev/standin/kv"
	"pistachioshore.dev/standin/shard"
)

// action is one fault or planned change, drawn from the seed.
type action struct {
	at       time.Duration // since the start of the load
	kind     string
	selector uint64        // random value that selects the target
	duration time.Duration // until the fault is removed or the change undone
}

// actionKinds are the kinds of actions; a kind listed twice is drawn twice as often.
var actionKinds = []string{
	"kill", "kill", "pause", "stop", "server-slow", "server-silent", "server-mute", "server-reset", "server-crash", "server-behave",
	"drain", "drain", "publish", "publish", "evacuate", "compact", "lapse", "noise", "store-cut", "store-silent", "store-swallow", "store-busy", "store-reset",
}

// storeFaultKinds is the number of kinds, at the end of actionKinds, that make the store fail for all VMs.
const storeFaultKinds = 4

// oddEntry returns a value that no server writes.
func (s *cluster) oddEntry(selector uint64) []byte {
	list := []string{"not an entry"}
	if s.extended {
		list = append(list,
			strings.Repeat("[", 100000),
			strings.Repeat(`{"service":`, 20000),
			`{"service":"jobs","address":"127.0.0.1:70000","zone":"`+zoneA+`","capacity":3,"state":"ready","sequence":1}`,
			`{"service":"jobs","address":"127.0.0.1:80","zone":"`+zoneA+`","capacity":1e300,"state":"ready","sequence":1}`,
			`{"service":"jobs","address":"127.0.0.1:80","zone":"`+zoneA+`","capacity":3,"state":"ready","sequence":1,"warmupLeftMs":1e300}`,
			`{"service":"jobs","address":"[::1]:80","zone":"`+zoneA+`","capacity":3,"state":"ready","sequence":1}`,
			"\xff\xfe\x00",
		)
	}
	return []byte(list[selector%uint64(len(list))])
}

// firstExtendedSeed is the first seed that draws further behaviours of servers and odd entries. Earlier seeds keep their
// meaning.
const firstExtendedSeed = 1000

// firstCrashingSeed is the first seed whose clients also send requests that stop each server that executes them.
const firstCrashingSeed = 2000

// firstDuplicatingSeed is the first seed that also draws servers that answer twice.
const firstDuplicatingSeed = 3000

// firstRestoringSeed is the first seed that also draws restorations of the store from an older copy. The store states its era.
const firstRestoringSeed = 4000

// schedule draws the actions of a seed; they come in bursts and overlap. Even seeds draw no store faults, because
// the bounds on how soon VMs apply a change are not checked for any VM during these.
func schedule(seed uint64, length time.Duration) []action {
	r := rand.New(rand.NewPCG(seed, 1))
	kinds := actionKinds
	if seed%2 == 0 {
		kinds = kinds[:len(kinds)-storeFaultKinds]
	}
	if seed >= firstRestoringSeed {
		kinds = append(slices.Clone(kinds), "store-restore", "store-restore")
	}
	var actions []action
	for at := time.Duration(0); at < length; {
		for range 1 + r.IntN(3) {
			duration := 300*time.Millisecond + time.Duration(r.Int64N(int64(3*time.Second)))
			actions = append(actions, action{at, kinds[r.IntN(len(kinds))], r.Uint64(), duration})
		}
		at += 400*time.Millisecond + time.Duration(r.Int64N(int64(2*time.Second)))
	}
	return actions
}

// runAction carries out one action and returns when its effect is over.
func (s *cluster) runAction(a action, done <-chan struct{}) {
	now := time.Now()
	until := now.Add(a.duration)
	s.history.recordAction(fmt.Sprintf("%6.2fs %s for %.1fs (%x)", a.at.Seconds(), a.kind, a.duration.Seconds(), a.selector&0xffff))
	switch a.kind {
	case "kill", "pause", "stop", "store-cut":
		s.runVMAction(a, s.vms[a.selector%uint64(len(s.vms))], until, done)
	case "publish":
		s.publish(int(a.selector % 3))
	case "evacuate":
		s.evacuate(zoneB, a.duration+evacuationBound, done)
	case "store-silent", "store-swallow", "store-busy", "store-reset":
		s.history.recordVMFault(nil, now, until)
		s.store.SetFault(map[string]kv.Fault{
			"store-silent": kv.HangAllCalls, "store-swallow": kv.HangNewCalls, "store-busy": kv.Unavailable, "store-reset": kv.ResetConnections,
		}[a.kind])
		wait(a.duration, done)
		s.store.SetFault(kv.NoFault)
	case "store-restore":
		s.restoreStore(a, done)
	case "compact":
		s.store.Compact()
	case "noise":
		s.store.Put("servers/noise", s.oddEntry(a.selector))
	default:
		live := s.liveServers()
		if len(live) == 0 {
			return // requests have stopped all of them
		}
		s.runServerAction(a, live[a.selector%uint64(len(live))], until, done)
	}
}

// runVMAction signals the process of a VM or disconnects it from the store.
func (s *cluster) runVMAction(a action, v *vm, until time.Time, done <-chan struct{}) {
	now := time.Now()
	switch a.kind {
	case "kill":
		s.history.recordVMFault(v, now, until)
		v.kill()
		wait(a.duration/4, done)
		s.restart(v)
	case "pause":
		s.history.recordVMFault(v, now, until)
		v.signal(syscall.SIGSTOP)
		wait(a.duration, done)
		v.signal(syscall.SIGCONT)
	case "store-cut":
		s.history.recordVMFault(v, now, until)
		v.storeProxy.setMode(ProxyDropAll)
		wait(a.duration, done)
		v.storeProxy.setMode(ProxyForward)
		v.storeProxy.resetConnections() // bytes were dropped, so the connections cannot continue
	case "stop":
		v.stop()
		if !v.waitExit(gracePeriod + boundSlack) {
			s.history.recordViolation(fmt.Sprintf("stop: %s is still running %v after SIGTERM", v.name, gracePeriod+boundSlack))
			v.kill()
		}
		s.restart(v)
	}
}

// restart starts a VM again; its first second counts as a fault of the VM.
func (s *cluster) restart(v *vm) {
	now := time.Now()
	s.history.recordVMFault(v, now, now.Add(time.Second))
	if err := v.start(); err != nil {
		s.history.recordViolation("restart a VM: " + err.Error())
	}
}

// calmBehaviour returns the behaviour of a server without a fault.
func (s *cluster) calmBehaviour() shard.Behaviour {
	if s.crashing {
		return shard.Crashing
	}
	return shard.Normal
}

// runServerAction makes one server, or the network path to it, fail.
func (s *cluster) runServerAction(a action, srv *server, until time.Time, done <-chan struct{}) {
	s.history.recordServerFault(time.Now(), until)
	switch a.kind {
	case "server-slow", "server-silent", "server-mute":
		srv.proxy.setMode(map[string]ProxyMode{"server-slow": ProxyDelay, "server-silent": ProxyDropAll, "server-mute": ProxyDropResponses}[a.kind])
		wait(a.duration, done)
		srv.proxy.setMode(ProxyForward)
		if a.kind != "server-slow" {
			srv.proxy.resetConnections()
		}
	case "server-reset":
		srv.proxy.resetConnections()
	case "server-behave":
		list := []shard.Behaviour{shard.Shedding, shard.Failing, shard.DroppingResponse, shard.Hanging, shard.Unsigned}
		if s.extended {
			list = append(list, shard.Resting, shard.EndlessHead, shard.EndlessBody, shard.LateCopy)
		}
		if s.duplicating {
			list = append(list, shard.Duplicating, shard.DuplicatingNoID)
		}
		srv.SetBehaviour(list[a.selector/7%uint64(len(list))])
		wait(a.duration, done)
		srv.SetBehaviour(s.calmBehaviour())
	case "lapse":
		s.store.DeleteAndCompact(srv.Key())
		wait(time.Second, done)
		s.registerAgain(srv)
	case "server-crash", "drain":
		s.replace(a.kind == "drain", srv, done)
	}
}

// registerAgain writes the entry of a server again, unless the server drains or has crashed meanwhile: its entry must not
// say ready then.
func (s *cluster) registerAgain(srv *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !srv.removed {
		s.store.Put(srv.Key(), srv.EntryWithAddress(srv.proxy.address(), "ready"))
	}
}

// replace drains or crashes a server, after it has started a new one of the same service.
func (s *cluster) replace(planned bool, srv *server, done <-chan struct{}) {
	if !s.markRemoved(srv) {
		return
	}
	if err := s.addServer(srv.Service(), srv.Zone()); err != nil {
		s.history.recordViolation("start a replacement server: " + err.Error())
		return
	}
	if !planned {
		s.crash(srv)
		srv.Close()
		wait(2*time.Second, done)
		s.store.Delete(srv.Key())
		return
	}
	s.store.Put(srv.Key(), srv.EntryWithAddress(srv.proxy.address(), "draining"))
	s.history.mu.Lock()
	s.history.drainedAt[srv.ID()] = time.Now()
	s.history.mu.Unlock()
}

// crash makes connections to a server be refused. Its port stays reserved until the soak ends.
func (s *cluster) crash(srv *server) {
	if err := srv.proxy.crash(); err != nil {
		s.history.recordViolation("crash a server: " + err.Error())
	}
}

// evacuate evacuates a zone for some time. It does nothing if the zone is evacuated already, because the end of
// the earlier evacuation would cut this one short.
func (s *cluster) evacuate(zone string, duration time.Duration, done <-chan struct{}) {
	if !s.zoneBEvacuated.CompareAndSwap(false, true) {
		return
	}
	defer s.zoneBEvacuated.Store(false)
	s.setEvacuated(zone, true)
	from := time.Now()
	wait(duration, done)
	s.history.mu.Lock()
	s.history.evacuations[zone] = append(s.history.evacuations[zone], span{from, time.Now()})
	s.history.mu.Unlock()
	s.setEvacuated(zone, false)
}

// wait waits for d, or until done is closed.
func wait(d time.Duration, done <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	}
}
