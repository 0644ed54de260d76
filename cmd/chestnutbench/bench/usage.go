package bench

import (
	"flag"
	"fmt"
)

const usageHeader = `Usage: chestnutbench [flags]

Runs a fleet with stand-ins for the database groups in this process, in real
time, over an in-memory network with the delays, execution slots, connection
limits and connect costs of an installation. Jobs of all customers arrive in an
open loop; sessions stay connected and occasionally move to another VM with
their session token. The responses to clients are checked against the
guarantees, and written values against the logs of the backend servers.

Scenarios:
`

const usageFooter = `  overhead      added latency, CPU and memory of one VM over loopback TCP,
                against direct connections to the same backend server
  scale         control messages, bytes, CPU and memory for each VM without
                load, for several numbers of VMs and database groups

Progress goes to standard error, the result to standard output. Latencies count
from the arrival of a job, so waiting for a free session is included.
"In time" means answered within the deadline of the profile's routes.

Exit status: 0 if all checks pass, 1 if a check found violations or the run
failed, 2 for wrong usage.

Examples:
  chestnutbench -profile fes -scenario failover -duration 60s -seed 7
  chestnutbench -profile peachtree -scenario steady -compare
  chestnutbench -scenario overhead
  chestnutbench -scenario scale -vms 4,8,16,32 -groups 3,10,30,100

Flags:
`

func printUsage(set *flag.FlagSet) {
	w := set.Output()
	fmt.Fprint(w, usageHeader)
	for _, s := range scenarios {
		fmt.Fprintf(w, "  %-13s %s\n", s.name, s.summary)
	}
	fmt.Fprint(w, usageFooter)
	set.PrintDefaults()
}
