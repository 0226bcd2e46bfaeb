package result_test

import (
	"fmt"

	"pistachioshore.dev/result"
)

func ExampleError() {
	err := result.NewFieldError(result.OutOfRange, "groups[0].cold-limit", "4", "1 to the 3 slots")
	fmt.Println(err)
	fmt.Println(err.Code.Effect())
	fmt.Println(result.New(result.Late, "the shard has not answered").Code.Effect())
	// Output:
	// 203 out-of-range: groups[0].cold-limit = "4" (allowed: 1 to the 3 slots)
	// not-run
	// may-have-run
}
