package node

import "runtime/debug"

// memoryShare is the share of the memory that the process may have from which the garbage collector
// works harder. By itself it lets the heap double between two rounds: the holder of load orders before
// 985 daemons had 334 MB, half of it garbage, on a machine whose processes are killed at 536.
const memoryShare = 0.4

// ApplyMemoryLimit makes the garbage collector work harder before the process is killed for its memory.
func (c *Config) ApplyMemoryLimit() {
	if c.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(c.MemoryLimitBytes)))
	}
}
