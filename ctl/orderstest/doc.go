// Package orderstest drives orders through separate processes: control
// leaders, agents, engines and a weight store. It holds only tests.
package orderstest
