// Package orderstest tests orders end to end with separate processes: control processes, agents, engines and
// a weight store. It contains only tests.
package orderstest
