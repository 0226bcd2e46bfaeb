package main

import (
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	burstUsual  = 80  // clients of one VM
	burstFactor = 1.7 // of the site file's burst
	burstLength = 12 * time.Second
)

// burst has more clients than usual receive answers behind slow links at the same time, and watches the memory of their VM.
func burst(l *lab) (int, error) {
	for i, zone := range zones {
		if _, err := l.addServer([]string{"i-a1", "i-b1", "i-c1"}[i], "jobs", zone, func(s *server) {
			s.work, s.answerBytes = 20*time.Millisecond, transferBytes
		}); err != nil {
			return failed, err
		}
	}
	l.publish(7, 65536, 96, routeEntry{Name: "job", Type: "non_idempotent", TimeoutMs: 5000, TargetMs: 800, MaxAttempts: 2, Service: "jobs"})
	_ = os.Setenv("GOMAXPROCS", "1")
	if err := l.startTier(3, floodMemoryMB, 1000); err != nil {
		return failed, err
	}
	time.Sleep(4500 * time.Millisecond) // the VMs are in touch
	v := l.vms[0]
	n := burstUsual
	if l.trouble {
		n = int(burstFactor * burstUsual)
	}
	var done atomic.Bool
	var peak atomic.Int64
	var watching, clients sync.WaitGroup
	watching.Go(func() {
		for !done.Load() {
			peak.Store(max(peak.Load(), int64(v.memory("RssAnon"))))
			time.Sleep(20 * time.Millisecond)
		}
	})
	var complete, other atomic.Int64
	end := time.Now().Add(burstLength)
	for range n {
		clients.Go(func() {
			for time.Now().Before(end) {
				got, status, err := l.receiveSlowly(v.front)
				if err == nil && status == http.StatusOK && got == transferBytes {
					complete.Add(1)
				} else {
					other.Add(1)
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	done.Store(true)
	watching.Wait()
	l.logf("%d clients: %d complete answers, %d others; %s has taken up to %d MB that no file backs; the machine has %d MB",
		n, complete.Load(), other.Load(), v.name, peak.Load(), floodMemoryMB)
	switch {
	case !v.isRunning() || peak.Load() > floodMemoryMB:
		return broken, nil
	case complete.Load() == 0:
		return failed, nil
	}
	return held, nil
}
