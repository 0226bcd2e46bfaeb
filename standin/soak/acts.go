package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"pistachioshore.dev/standin/kv"
	"pistachioshore.dev/standin/shard"
)

// act is one fault or planned act, drawn from the seed.
type act struct {
	at   time.Duration // since the start of the load
	kind string
	pick uint64        // chooses what it strikes
	last time.Duration // how long it lasts
}

// kinds are the acts of a soak.
var kinds = []string{
	"kill", "kill", "pause", "stop", "server-slow", "server-silent", "server-mute", "server-reset", "server-crash", "server-behave",
	"drain", "drain", "publish", "publish", "evacuate", "compact", "lapse", "noise", "store-cut", "store-silent", "store-swallow", "store-busy", "store-reset",
}

// storeKinds is the number of kinds at the end that harm the store for all VMs.
const storeKinds = 4

// schedule draws the acts of a seed; they come in series and overlap. Even seeds leave the store sound, because
// the bounds on what VMs learn hold for none of them while it is not.
func schedule(seed uint64, length time.Duration) []act {
	r := rand.New(rand.NewPCG(seed, 1))
	kinds := kinds
	if seed%2 == 0 {
		kinds = kinds[:len(kinds)-storeKinds]
	}
	var acts []act
	for at := time.Duration(0); at < length; {
		for range 1 + r.IntN(3) {
			last := 300*time.Millisecond + time.Duration(r.Int64N(int64(3*time.Second)))
			acts = append(acts, act{at, kinds[r.IntN(len(kinds))], r.Uint64(), last})
		}
		at += 400*time.Millisecond + time.Duration(r.Int64N(int64(2*time.Second)))
	}
	return acts
}

// run carries out one act and returns when what it did is over.
func (s *site) run(a act, done <-chan struct{}) {
	now := time.Now()
	until := now.Add(a.last)
	s.history.act(fmt.Sprintf("%6.2fs %s for %.1fs (%x)", a.at.Seconds(), a.kind, a.last.Seconds(), a.pick&0xffff))
	switch a.kind {
	case "kill", "pause", "stop", "store-cut":
		s.strikeVM(a, s.vms[a.pick%uint64(len(s.vms))], until, done)
	case "publish":
		s.publish(int(a.pick % 3))
	case "evacuate":
		s.evacuate(zoneB, a.last+evacuate, done)
	case "store-silent", "store-swallow", "store-busy", "store-reset":
		s.history.fault(nil, now, until)
		s.store.SetFault(map[string]kv.Fault{
			"store-silent": kv.HangAllCalls, "store-swallow": kv.HangNewCalls, "store-busy": kv.Unavailable, "store-reset": kv.ResetConnections,
		}[a.kind])
		wait(a.last, done)
		s.store.SetFault(kv.NoFault)
	case "compact":
		s.store.Compact()
	case "noise":
		s.store.Put("servers/noise", []byte("not an entry"))
	default:
		live := s.live()
		s.strikeServer(a, live[a.pick%uint64(len(live))], until, done)
	}
}

// strikeVM signals a VM's process or cuts it off from the store.
func (s *site) strikeVM(a act, v *vm, until time.Time, done <-chan struct{}) {
	now := time.Now()
	switch a.kind {
	case "kill":
		s.history.fault(v, now, until)
		v.kill()
		wait(a.last/4, done)
		s.restart(v)
	case "pause":
		s.history.fault(v, now, until)
		v.signal(syscall.SIGSTOP)
		wait(a.last, done)
		v.signal(syscall.SIGCONT)
	case "store-cut":
		s.history.fault(v, now, until)
		v.store.set(ProxyDropAll)
		wait(a.last, done)
		v.store.set(ProxyForward)
		v.store.reset() // what was dropped never arrives
	case "stop":
		v.stop()
		if !v.ended(grace + boundSlack) {
			s.history.problem(fmt.Sprintf("stop: %s still runs %v after SIGTERM", v.name, grace+boundSlack))
			v.kill()
		}
		s.restart(v)
	}
}

// restart starts a VM again; its first seconds count as a fault at it.
func (s *site) restart(v *vm) {
	now := time.Now()
	s.history.fault(v, now, now.Add(time.Second))
	if err := v.start(); err != nil {
		s.history.problem("start: " + err.Error())
	}
}

// strikeServer harms one server or the way to it.
func (s *site) strikeServer(a act, srv *server, until time.Time, done <-chan struct{}) {
	s.history.harm(time.Now(), until)
	switch a.kind {
	case "server-slow", "server-silent", "server-mute":
		srv.proxy.set(map[string]ProxyMode{"server-slow": ProxyDelay, "server-silent": ProxyDropAll, "server-mute": ProxyDropResponses}[a.kind])
		wait(a.last, done)
		srv.proxy.set(ProxyForward)
		if a.kind != "server-slow" {
			srv.proxy.reset()
		}
	case "server-reset":
		srv.proxy.reset()
	case "server-behave":
		list := []shard.Behaviour{shard.Shedding, shard.Failing, shard.DroppingResponse, shard.Hanging, shard.Unsigned}
		srv.SetBehaviour(list[a.pick/7%uint64(len(list))])
		wait(a.last, done)
		srv.SetBehaviour(shard.Normal)
	case "lapse":
		s.store.DeleteAndCompact(srv.Key())
		wait(time.Second, done)
		s.store.Put(srv.Key(), srv.EntryWithAddress(srv.proxy.address(), "ready"))
	case "server-crash", "drain":
		s.replace(a.kind == "drain", srv, done)
	}
}

// replace has a server leave or crash, after another one of its service has started.
func (s *site) replace(planned bool, srv *server, done <-chan struct{}) {
	s.mu.Lock()
	taken := srv.gone
	srv.gone = true
	s.mu.Unlock()
	if taken {
		return
	}
	if err := s.addServer(srv.Service(), srv.Zone()); err != nil {
		s.history.problem("start a server: " + err.Error())
		return
	}
	if !planned {
		srv.proxy.close()
		srv.Close()
		wait(2*time.Second, done)
		s.store.Delete(srv.Key())
		return
	}
	s.store.Put(srv.Key(), srv.EntryWithAddress(srv.proxy.address(), "draining"))
	s.history.mu.Lock()
	s.history.drained[srv.ID()] = time.Now()
	s.history.mu.Unlock()
}

// evacuate takes a zone out and back, unless it is out already: the end of one act would take it back during another.
func (s *site) evacuate(zone string, last time.Duration, done <-chan struct{}) {
	if !s.out.CompareAndSwap(false, true) {
		return
	}
	defer s.out.Store(false)
	s.store.Put("op/evacuate/"+zone, []byte("{}"))
	from := time.Now()
	wait(last, done)
	s.history.mu.Lock()
	s.history.evacuate[zone] = append(s.history.evacuate[zone], span{from, time.Now()})
	s.history.mu.Unlock()
	s.store.Delete("op/evacuate/" + zone)
}

// wait returns after a time, or earlier once done is closed.
func wait(d time.Duration, done <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	}
}
