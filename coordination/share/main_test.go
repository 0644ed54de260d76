package share

import (
	"os"
	"strconv"
	"testing"

	"github.com/chestnutdyke/chestnutdyke/internal/testseed"
)

// plansInAll is the number of plans of the shards together.
const plansInAll = 100

func TestMain(m *testing.M) {
	os.Exit(testseed.RunChecks(m, strconv.Itoa(plansInAll/planShards)))
}
