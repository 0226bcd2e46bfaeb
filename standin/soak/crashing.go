package soak

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"pistachioshore.dev/standin/shard"
)

// crashingRoutes are the routes on which requests are sent that stop each server that executes them.
var crashingRoutes = []string{"order", "look"}

// sendCrashing sends the same requests, which stop each server that executes them, again and again to VMs chosen by the
// seed, until done is closed.
func (s *cluster) sendCrashing(seed uint64, nextID *atomic.Uint64, done <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 3))
	var clients []*client
	for i, v := range s.vms {
		c := newClient(v, seed+uint64(i), nextID, s.history.recordRequest)
		defer c.http.CloseIdleConnections()
		clients = append(clients, c)
	}
	for n := 0; ; n++ {
		wait(crashingInterval/2+time.Duration(r.Int64N(int64(crashingInterval))), done)
		select {
		case <-done:
			return
		default:
		}
		c := clients[r.IntN(len(clients))]
		route := crashingRoutes[n%len(crashingRoutes)]
		c.record(c.sendTo(nextID.Add(1), route, "/"+route+"/"+shard.CrashingTarget, shard.CrashingTarget))
	}
}

// startCrashingServer makes a server stop when it executes a request for a CrashingTarget. It is replaced a little later.
func (s *cluster) startCrashingServer(srv *server) {
	srv.SetBehaviour(shard.Crashing)
	srv.OnCrash(func() {
		now := time.Now()
		s.crash(srv)
		s.history.recordServerFault(now, now)
		if !s.markRemoved(srv) {
			return
		}
		time.AfterFunc(crashRecovery, func() {
			s.store.Delete(srv.Key())
			if err := s.addServer(srv.Service(), srv.Zone()); err != nil {
				s.history.recordViolation("start a server after a crash: " + err.Error())
			}
		})
	})
}

// checkCrashing checks that a request which stops servers is sent to few more of them once three have stopped and the VMs
// have had time to tell one another.
func (c *checker) checkCrashing() {
	for _, route := range crashingRoutes {
		var stops []execution
		for _, list := range c.executions {
			for _, e := range list {
				if e.Target == "/"+route+"/"+shard.CrashingTarget {
					stops = append(stops, e)
				}
			}
		}
		slices.SortFunc(stops, func(a, b execution) int { return a.StartedAt.Compare(b.StartedAt) })
		if len(stops) < crashThreshold {
			continue
		}
		bound := stops[crashThreshold-1].StartedAt.Add(recoveryTime + boundSlack)
		late := slices.DeleteFunc(slices.Clone(stops), func(e execution) bool {
			return e.StartedAt.Before(bound) || !c.history.vmHealthy(c.vms[e.RequestID], e.StartedAt, e.StartedAt)
		})
		if len(late) > maxLateCrashes {
			c.addViolation("crashing: a request on route %s stopped %d servers, %d of them later than %v after the third", route, len(stops), len(late), recoveryTime+boundSlack)
		}
	}
}
