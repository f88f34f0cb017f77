package verdict

// LacksCapacity reports whether an error is a refusal for lack of capacity:
// the same call may be taken when there is less work.
func LacksCapacity(err error) bool {
	if err == nil {
		return false
	}
	v := From(err)
	return v.Verdict == NotRun && (v.Code == CodeOverloaded || v.Code == CodeDeadline)
}
