package lockrank

import "testing"

func TestMain(m *testing.M) {
	EnableChecks()
	m.Run()
}

// Guards against a deadlock of two workers that lock the same two tables in
// opposite orders.
func TestDescendingOrderPanics(t *testing.T) {
	low, high := New(Config), New(Backends)
	high.Lock()
	defer high.Unlock()
	defer func() {
		if recover() == nil {
			t.Fatal("locking a lower rank did not panic")
		}
	}()
	low.Lock()
}

// Guards against a check that rejects the permitted order, or a released lock
// that still counts as held.
func TestAscendingOrderIsAllowed(t *testing.T) {
	low, high := New(Config), New(Backends)
	entered := 0
	for range 2 {
		low.Lock()
		high.Lock()
		entered++
		high.Unlock()
		low.Unlock()
	}
	if entered != 2 {
		t.Fatalf("entered %d times, want 2", entered)
	}
}
