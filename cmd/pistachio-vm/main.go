// Command pistachio-vm is the program that each VM runs on the users' platform.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"pistachioshore.dev/platform"
)

// commands are the commands of the program.
type commands struct {
	Serve serveCommand `cmd:"" default:"1" help:"Serve requests until SIGTERM, with the settings file that the platform names in the environment."`
	Check checkCommand `cmd:"" help:"Check the settings file and print the first fault."`
}

type serveCommand struct{}

// Run serves until the process is told to stop.
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

// Run checks the settings.
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
