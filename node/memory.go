package node

import "runtime/debug"

// memoryLimitShare is the soft memory limit of the Go runtime as a share of the process's memory. Without a
// limit the heap may double between two collections, which the process's memory may not allow.
const memoryLimitShare = 0.4

// ApplyMemoryLimit sets a soft memory limit, so that the garbage collector runs more often before the process
// is killed for its memory use.
func (c *Config) ApplyMemoryLimit() {
	if c.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(c.MemoryLimitBytes)))
	}
}
