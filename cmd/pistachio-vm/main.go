// Command pistachio-vm runs one VM of the query tier with the settings that the platform provides.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"pistachioshore.dev/platform"
)

// commands lists the subcommands.
type commands struct {
	Serve serveCommand `cmd:"" default:"1" help:"Serve requests until SIGTERM, using the settings file that the platform names in the environment."`
	Check checkCommand `cmd:"" help:"Validate the settings file and print the first error."`
}

type serveCommand struct{}

// Run serves until the process receives SIGTERM or SIGINT.
func (serveCommand) Run() error {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	p, err := platform.New(s)
	if err != nil {
		return err
	}
	return p.Run()
}

type checkCommand struct{}

// Run validates the settings file.
func (checkCommand) Run() error {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	fmt.Printf("settings of %s in zone %s are valid\n", s.Name, s.Zone)
	return nil
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Description("One VM of the pistachioshore query tier."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "pistachio-vm:", err)
		os.Exit(1)
	}
}
