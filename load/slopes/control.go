package slopes

import (
	"context"
	"time"

	"go.uber.org/fx"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/demo/tier"
	"pistachioshore.dev/load"
	"pistachioshore.dev/standin/upstream"
)

// Durations and repetitions of the measurements of an idle tier.
const (
	idleDuration         = 3 * time.Second
	trafficCountDuration = 2 * time.Second
	idleRuns             = 3
)

// measureControl measures the cost of VMs without requests: heartbeats, ticks and reads from the platform.
func (b *bench) measureControl(ctx context.Context) error {
	for _, vmsPerZone := range []int{1, 2, 4, 8} {
		if err := b.measureIdleVMs(ctx, vmsPerZone); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) measureIdleVMs(ctx context.Context, vmsPerZone int) error {
	traffic, err := newTrafficCounter()
	if err != nil {
		return err
	}
	t, err := tier.Start(ctx, tier.Settings{
		Firm: "armor", VMsPerZone: vmsPerZone, VMOptions: []fx.Option{traffic.vmOption()},
		Upstreams: upstream.Settings{ServiceTime: time.Millisecond, Seed: b.settings.Seed},
	})
	if err != nil {
		return err
	}
	defer t.Close(ctx)
	vms := len(t.VMs())
	var cpu, reads []float64
	for range idleRuns {
		cpuBefore, readsBefore, start := load.CPUTime(), t.Platform().ReadCount(), time.Now()
		time.Sleep(idleDuration)
		seconds := time.Since(start).Seconds()
		cpu = append(cpu, float64((load.CPUTime()-cpuBefore).Microseconds())/seconds/float64(vms))
		reads = append(reads, float64(t.Platform().ReadCount()-readsBefore)/seconds/float64(vms))
	}
	b.add("idle VMs", vms, "processor time, per VM", "us/s", cpu...)
	b.add("idle VMs", vms, "platform reads, per VM", "1/s", reads...)
	traffic.enabled.Store(true)
	time.Sleep(trafficCountDuration)
	traffic.enabled.Store(false)
	bytes, messages := traffic.totals(codec.KindHeartbeat)
	vmSeconds := float64(vms) * trafficCountDuration.Seconds()
	b.add("idle VMs", vms, "heartbeat bytes sent, per VM", "B/s", bytes/vmSeconds)
	b.add("idle VMs", vms, "heartbeats sent, per VM", "1/s", messages/vmSeconds)
	return nil
}
