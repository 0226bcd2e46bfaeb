// Package tier runs one firm's tier on loopback: stand-ins of the platform and of all upstreams, and several
// entry VMs.
package tier

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"pistachioshore.dev/audit"
	"pistachioshore.dev/catalog"
	"pistachioshore.dev/codec"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/standin"
	"pistachioshore.dev/standin/platform"
	"pistachioshore.dev/standin/sample"
	"pistachioshore.dev/standin/upstream"
	"pistachioshore.dev/wire"
)

// Settings configures a tier.
type Settings struct {
	Firm          string
	VMsPerZone    int
	Upstreams     upstream.Settings // upstream settings that the configuration does not define
	ConfigOptions []sample.Option
	AdjustConfig  func(cfg *wire.Configuration) // modifies every configuration before it is published; may be nil
	LogOutput     io.Writer                     // log lines of the VMs; discarded if nil
	VMOptions     []fx.Option                   // replace components of the VMs in this process

	// NewStepObserver returns the observer of request steps for a VM in this process. It may be nil.
	NewStepObserver func(vm netip.AddrPort) vm.StepObserver
	// NewRunner returns the runner of a VM, or nil to run the VM in this process. It may be nil.
	NewRunner func(s RunnerSettings) (Runner, error)
}

// Tier is a running tier.
type Tier struct {
	settings        Settings
	platform        *platform.Platform
	platformServer  *standin.Server
	upstreams       *upstream.Set
	serverAddresses map[string]netip.AddrPort
	listenFuncs     map[string]standin.ListenFunc
	recorder        *audit.Recorder
	network         *Network

	mu            sync.Mutex
	vms           []*VM
	revision      uint64
	configOptions []sample.Option
	currentConfig *catalog.Config // configuration built last
}

// Start starts the stand-ins and the VMs, and waits until every VM is ready.
func Start(ctx context.Context, s Settings) (*Tier, error) {
	if s.LogOutput == nil {
		s.LogOutput = io.Discard
	}
	t := &Tier{
		settings: s, serverAddresses: map[string]netip.AddrPort{}, listenFuncs: map[string]standin.ListenFunc{},
		network:  newNetwork(),
		revision: 1, configOptions: s.ConfigOptions,
	}
	cfg, raw, err := t.buildConfig()
	if err != nil {
		return nil, err
	}
	t.recorder = audit.NewRecorder(audit.History{Catalog: cfg, Records: sample.Records, SnapshotOf: sample.SnapshotOf})
	if err := t.serveStandIns(cfg, raw); err != nil {
		return nil, err
	}
	if err := t.startVMs(ctx, cfg); err != nil {
		t.Close(ctx)
		return nil, err
	}
	return t, errors.Wrap(t.waitReady(ctx), "wait for VMs to become ready")
}

// Platform returns the platform's stand-in.
func (t *Tier) Platform() *platform.Platform {
	return t.platform
}

// Upstreams returns the upstreams' stand-ins.
func (t *Tier) Upstreams() *upstream.Set {
	return t.upstreams
}

// Recorder returns the recorder of this tier's history.
func (t *Tier) Recorder() *audit.Recorder {
	return t.recorder
}

// Network returns the simulated network of the VMs.
func (t *Tier) Network() *Network {
	return t.network
}

// VMs returns all VMs in the order in which they were added, including stopped ones.
func (t *Tier) VMs() []*VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*VM(nil), t.vms...)
}

// Publish publishes the next revision of the configuration with additional options, records the publication
// and returns its time.
func (t *Tier) Publish(opts ...sample.Option) (time.Time, error) {
	at, revision, err := t.PublishUnrecorded(opts...)
	if err == nil {
		t.recorder.RecordPublication(audit.Publication{Revision: revision, At: at})
	}
	return at, err
}

// PublishUnrecorded is like Publish but does not record the publication. It is for times when the platform
// does not serve new configurations to the VMs.
func (t *Tier) PublishUnrecorded(opts ...sample.Option) (at time.Time, revision uint64, err error) {
	t.mu.Lock()
	t.revision++
	t.configOptions = append(t.configOptions, opts...)
	t.mu.Unlock()
	cfg, raw, err := t.buildConfig()
	if err != nil {
		return time.Time{}, 0, err
	}
	t.upstreams.UpdateConfig(cfg) // first, so that the upstreams hold a new snapshot before queries pin it
	at = time.Now()
	_, err = t.platform.Publish(raw)
	return at, cfg.Revision, err
}

// RecordRevisions records the configuration revision that each running VM reports.
func (t *Tier) RecordRevisions() {
	for _, v := range t.VMs() {
		if !v.Running() {
			continue
		}
		sentAt := time.Now()
		revision := v.Revision()
		t.recorder.RecordRevision(audit.RevisionObservation{VM: v.Address, SentAt: sentAt, ReturnedAt: time.Now(), Revision: revision})
	}
}

// Violations checks the recorded history against the counts of the upstreams, and returns the violations and
// the history. The configuration published last must list every snapshot that an answer may name.
func (t *Tier) Violations() ([]audit.Violation, audit.History) {
	h := t.recorder.History(audit.FromWireCounts(t.upstreams.Counts()))
	h.Catalog = t.Catalog()
	return audit.New(h).CheckAll(), h
}

// Catalog returns the configuration that was published last.
func (t *Tier) Catalog() *catalog.Config {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentConfig
}

// Close stops the running VMs, then the stand-ins.
func (t *Tier) Close(ctx context.Context) {
	var wg sync.WaitGroup
	for _, v := range t.VMs() {
		wg.Go(func() { _ = v.Stop(ctx) })
	}
	wg.Wait()
	if t.platformServer != nil {
		_ = t.platformServer.Close()
	}
	if t.upstreams != nil {
		t.upstreams.Close()
	}
}

// buildConfig builds and validates the configuration of the current revision.
func (t *Tier) buildConfig() (*catalog.Config, []byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	opts := append([]sample.Option{sample.WithAddresses(t.serverAddress)}, t.configOptions...)
	w, ok := sample.Config(t.settings.Firm, 0, append(opts, sample.WithRevision(t.revision))...)
	if !ok {
		return nil, nil, errors.Newf("unknown firm %q", t.settings.Firm)
	}
	if t.settings.AdjustConfig != nil {
		t.settings.AdjustConfig(&w)
	}
	raw, err := sample.YAML(w)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode configuration")
	}
	cfg, faults := codec.ParseConfig(raw)
	if len(faults) > 0 {
		return nil, nil, errors.Wrap(faults[0], "validate configuration")
	}
	t.currentConfig = cfg
	return cfg, raw, nil
}

// serverAddress returns the address of a server; the first call for a server reserves its port.
func (t *Tier) serverAddress(server string, _ int) netip.AddrPort {
	if a, ok := t.serverAddresses[server]; ok {
		return a
	}
	a, listen, err := standin.ReservePort()
	if err != nil {
		return netip.AddrPort{} // the validation of the configuration reports it
	}
	t.serverAddresses[server], t.listenFuncs[server] = a, listen
	return a
}

func (t *Tier) serveStandIns(cfg *catalog.Config, raw []byte) error {
	var err error
	t.upstreams, err = upstream.ServeAll(cfg,
		upstream.WithBaseSettings(t.settings.Upstreams),
		upstream.WithLoader(sample.Loader),
		upstream.WithListen(func(s catalog.Server) standin.ListenFunc { return t.listenFuncs[s.Name] }),
	)
	if err != nil {
		return errors.Wrap(err, "serve upstreams")
	}
	for _, u := range t.upstreams.All() {
		t.network.setSegment(u.Address(), u.Zone())
	}
	t.platform = platform.New(raw)
	t.platformServer, err = standin.Serve(netip.AddrPortFrom(loopback, 0), t.platform)
	if err != nil {
		return errors.Wrap(err, "serve platform")
	}
	t.network.setSegment(t.platformServer.Address(), PlatformSegment)
	return nil
}

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

func (t *Tier) startVMs(ctx context.Context, cfg *catalog.Config) error {
	type zoneListener struct {
		zone     string
		listener net.Listener
	}
	var listeners []zoneListener
	for range t.settings.VMsPerZone {
		for _, z := range cfg.Zones {
			l, err := net.Listen("tcp", netip.AddrPortFrom(loopback, 0).String())
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			listeners = append(listeners, zoneListener{z.Name, l})
		}
	}
	for _, zl := range listeners {
		v, err := newVM(t, zl.zone, zl.listener)
		if err != nil {
			return err
		}
		t.vms = append(t.vms, v)
	}
	if err := t.PublishVMs(); err != nil {
		return err
	}
	for _, v := range t.vms {
		if err := v.runner.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// AddVM starts another VM in a zone and adds it to the platform's list, without waiting until it is ready.
// The address is that of a VM that no longer runs; the zero value selects a free port.
func (t *Tier) AddVM(ctx context.Context, zone string, address netip.AddrPort) (*VM, error) {
	if !address.IsValid() {
		address = netip.AddrPortFrom(loopback, 0)
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	v, err := newVM(t, zone, l)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.vms = append(t.vms, v)
	t.mu.Unlock()
	if err := t.PublishVMs(); err != nil {
		return nil, err
	}
	return v, v.runner.Start(ctx)
}

// PublishVMs replaces the platform's list of VMs with the running ones.
func (t *Tier) PublishVMs() error {
	var list []wire.VM
	for _, v := range t.VMs() {
		if v.Running() {
			list = append(list, wire.VM{Address: v.Address, Zone: v.Zone, State: "live"})
		}
	}
	return t.platform.SetVMs(list)
}

func (t *Tier) waitReady(ctx context.Context) error {
	for _, v := range t.VMs() {
		if err := v.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}
