// Package intake observes the callers' connections of an entry and whether it has the processor time for them.
package intake
