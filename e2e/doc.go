// Package e2e proves caperdrum's promises over separate operating-system
// processes on loopback addresses. It has tests only.
package e2e
