package codec_test

import (
	"bytes"
	"fmt"
	"os"

	"pistachioshore.dev/codec"
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
