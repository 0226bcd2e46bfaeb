package codec_test

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"pistachioshore.dev/codec"
	"pistachioshore.dev/quarantine"
)

func ExampleParseConfig() {
	raw, err := os.ReadFile("testdata/armor.yaml")
	if err != nil {
		fmt.Println(err)
		return
	}
	cfg, faults := codec.ParseConfig(raw)
	fmt.Println(cfg.Firm, "with", len(cfg.Zones), "zones and", len(faults), "faults")
	_, faults = codec.ParseConfig(bytes.Replace(raw, []byte("class: urgent"), []byte("class: extreme"), 1))
	fmt.Println(faults[0])
	// Output:
	// armor with 2 zones and 0 faults
	// 203 out-of-range: routes[1].class = "extreme" (allowed: urgent, normal or background)
}

func ExampleFromWireCrash() {
	crash := quarantine.Crash{Fingerprint: 7, Upstream: "i-1", StartedAt: time.UnixMilli(1500)}
	report := codec.ToWireCrash(time.UnixMilli(2000), crash)
	fmt.Println(report.Upstream, codec.FromWireCrash(report) == crash)
	report.Upstream = "i-1" // from a VM that does not send the start
	fmt.Println(codec.FromWireCrash(report).Upstream, codec.FromWireCrash(report).StartedAt.UnixMilli())
	// Output:
	// i-1@1500 true
	// i-1 0
}
