package load

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Usage is the CPU time that a run used, and how busy the whole host was during the run.
type Usage struct {
	Cores       float64 `json:"cores"`        // average number of cores used by stand-ins, VMs and callers together
	MachineBusy float64 `json:"machine-busy"` // share of the CPU time of all cores that any process used
}

// usageMeter holds the CPU counters of the process and of the host at the start of a run.
type usageMeter struct {
	startedAt  time.Time
	cpu        time.Duration
	busy, idle float64
}

func startUsageMeter() usageMeter {
	busy, idle := hostCPUTicks()
	return usageMeter{startedAt: time.Now(), cpu: CPUTime(), busy: busy, idle: idle}
}

func (u usageMeter) stop() Usage {
	busy, idle := hostCPUTicks()
	out := Usage{Cores: (CPUTime() - u.cpu).Seconds() / time.Since(u.startedAt).Seconds()}
	if total := busy - u.busy + idle - u.idle; total > 0 {
		out.MachineBusy = (busy - u.busy) / total
	}
	return out
}

// CPUTime returns the CPU time that this process has used so far, or 0 if it is unknown.
func CPUTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// hostCPUTicks returns the clock ticks that all cores have been busy and idle since boot, or zeros if they are
// unknown.
func hostCPUTicks() (busy, idle float64) {
	raw, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := strings.Cut(string(raw), "\n")
	for i, f := range strings.Fields(line)[1:] {
		v, _ := strconv.ParseFloat(f, 64) // the kernel writes only integers
		switch i {
		case 3, 4:
			idle += v
		case 0, 1, 2, 5, 6, 7:
			busy += v
		}
	}
	return busy, idle
}
