// Package harness starts the system's real processes for tests: the daemon,
// the operators' tool and the stand-ins, each with its own settings file and
// folder, with links between them that can be cut, slowed or made silent.
//
// A Link is a relay of our own, which knows the process at the other end and
// can cut one direction or silence single connections, in front of a
// toxiproxy proxy, which delays, slows and resets. Processes are started, stopped and
// signalled by the ids of those that this package started, and all end with
// the test.
package harness
