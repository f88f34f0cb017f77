package verdict

// LacksCapacity reports whether err is a refusal for lack of capacity: the same call may
// be accepted later, under less load.
func LacksCapacity(err error) bool {
	if err == nil {
		return false
	}
	v := From(err)
	return v.Verdict == NotRun && (v.Code == CodeOverloaded || v.Code == CodeDeadlineUnreachable)
}
