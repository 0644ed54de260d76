package bench

import (
	"os"
	"runtime"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"
)

// Machine describes the machine that ran the measurements and how busy it was.
type Machine struct {
	CPUs int    // logical CPUs that the process can use
	Load string // load averages over 1, 5 and 15 minutes; empty if unknown
}

func currentMachine() Machine {
	m := Machine{CPUs: runtime.NumCPU()}
	if raw, err := os.ReadFile("/proc/loadavg"); err == nil {
		fields := strings.Fields(string(raw))
		m.Load = strings.Join(fields[:min(3, len(fields))], " ")
	}
	return m
}

// processCPU returns the user and system CPU time of the process, or 0 if it is not
// available.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// processMemory returns the bytes in use for heap and stacks after a garbage
// collection.
func processMemory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// startCPUProfile writes a CPU profile to the named file until stop is called. An
// empty name disables it.
func startCPUProfile(name string) (stop func(), err error) {
	if name == "" {
		return func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		file.Close()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		file.Close()
	}, nil
}
