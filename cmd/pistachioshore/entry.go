package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"pistachioshore.dev/entry"
	"pistachioshore.dev/entry/front"
	"pistachioshore.dev/entry/vm"
	"pistachioshore.dev/transport"
	"pistachioshore.dev/transport/feed"
	"pistachioshore.dev/transport/rest"
)

// entryCommand holds the settings of an entry VM.
type entryCommand struct {
	Listen   netip.AddrPort `required:"" help:"Address and port that callers and other VMs reach this VM at."`
	Zone     string         `required:"" help:"Availability zone of this VM."`
	Platform netip.AddrPort `required:"" help:"Address and port of the platform's configuration service."`
	Workers  int            `default:"256" help:"Workers of the pool; bounds the calls under way at upstreams."`
}

// Run serves until the process is told to stop.
func (c *entryCommand) Run() error {
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(vm.Settings{Address: c.Listen, Zone: c.Zone, Workers: c.Workers}),
		fx.Provide(
			newLogger,
			func() transport.Platform { return feed.New(c.Platform) },
			func() transport.Upstream { return rest.New() },
			vm.New,
			func(v *vm.VM) entry.Tier { return v },
			front.New,
		),
		fx.Invoke(startVM, serveFront),
	)
	app.Run()
	return app.Err()
}

func newLogger() log.Logger {
	return log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
}

func startVM(lc fx.Lifecycle, v *vm.VM) {
	lc.Append(fx.StartStopHook(v.Start, v.Stop))
}

func serveFront(lc fx.Lifecycle, s vm.Settings, f *front.Front) {
	server := &http.Server{Handler: f, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", s.Address.String())
			if err != nil {
				return err
			}
			go func() { _ = server.Serve(l) }() // ends with ErrServerClosed at the stop
			return nil
		},
		OnStop: server.Shutdown,
	})
}
