package planner

import "expvar"

func setInt(m *expvar.Map, key string, value int64) {
	v := &expvar.Int{}
	v.Set(value)
	m.Set(key, v)
}
