package peer

import (
	"os"
	"testing"

	"github.com/chestnutdyke/chestnutdyke/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }
