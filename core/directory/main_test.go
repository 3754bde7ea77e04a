package directory_test

import (
	"testing"

	"tanagerroad/core/schedule"
)

func TestMain(m *testing.M) { schedule.Main(m, 1000, 100) }
