// Package e2e tests caperdrum's guarantees with separate processes on loopback addresses. It contains only
// tests.
package e2e
