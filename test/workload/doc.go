// Package workload runs a complete system of real processes. Callers resend without end while a
// seeded schedule of faults and planned stops goes on. Then the package compares the replies that
// the callers received with the runs on the backend servers.
//
// The seed determines the requests, the faults and their order, but not the timing of the
// processes. Two runs with one seed are therefore similar, not identical.
package workload
