package share

import (
	"os"
	"strconv"
	"testing"

	"github.com/chestnutdyke/chestnutdyke/internal/testseed"
)

// totalPlans is the number of plans in all shards together.
const totalPlans = 100

func TestMain(m *testing.M) {
	os.Exit(testseed.RunChecks(m, strconv.Itoa(totalPlans/planShards)))
}
