// Package harness starts the system's real processes for tests: the daemon, the operators' tool
// and the stand-ins. Each process has its own settings and folder. Links between the processes
// can be cut, slowed or silenced.
//
// A Link is a relay followed by a toxiproxy proxy. The relay knows the node at the other end of
// each connection, and can drop one direction or silence single connections. The proxy delays,
// slows and resets. The package stops and signals only processes that it has started, by their
// process ids, and all of them end with the test.
package harness
