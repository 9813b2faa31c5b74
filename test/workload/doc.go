// Package workload drives a whole system of real processes with callers that
// resend without end, while a seeded schedule of faults and planned stops goes
// on, and then checks what callers got against what backend servers ran.
//
// The seed fixes what is asked and which faults happen in which order, not the
// timing of processes, so a seed brings about the same kind of run and not the
// same run.
package workload
