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
	idleTime  = 3 * time.Second
	countTime = 2 * time.Second
	idleRuns  = 3
)

// measureControl measures the cost of VMs without requests: heartbeats, ticks and reads from the platform.
func (b *bench) control(ctx context.Context) error {
	for _, perZone := range []int{1, 2, 4, 8} {
		if err := b.idle(ctx, perZone); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) idle(ctx context.Context, perZone int) error {
	traffic, err := newTraffic()
	if err != nil {
		return err
	}
	t, err := tier.Start(ctx, tier.Settings{
		Firm: "armor", VMsPerZone: perZone, VMOptions: []fx.Option{traffic.option()},
		Upstreams: upstream.Settings{ServiceTime: time.Millisecond, Seed: b.settings.Seed},
	})
	if err != nil {
		return err
	}
	defer t.Close(ctx)
	vms := len(t.VMs())
	var cpu, reads []float64
	for range idleRuns {
		before, read, began := load.CPUTime(), t.Platform().ReadCount(), time.Now()
		time.Sleep(idleTime)
		seconds := time.Since(began).Seconds()
		cpu = append(cpu, float64((load.CPUTime()-before).Microseconds())/seconds/float64(vms))
		reads = append(reads, float64(t.Platform().ReadCount()-read)/seconds/float64(vms))
	}
	b.add("idle VMs", vms, "processor time, per VM", "us/s", cpu...)
	b.add("idle VMs", vms, "platform reads, per VM", "1/s", reads...)
	traffic.on.Store(true)
	time.Sleep(countTime)
	traffic.on.Store(false)
	bytes, messages := traffic.of(codec.KindHeartbeat)
	per := float64(vms) * countTime.Seconds()
	b.add("idle VMs", vms, "heartbeat bytes sent, per VM", "B/s", bytes/per)
	b.add("idle VMs", vms, "heartbeats sent, per VM", "1/s", messages/per)
	return nil
}
