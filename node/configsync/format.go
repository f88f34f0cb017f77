package configsync

import "strconv"

func versionString(v uint64) string { return "version " + strconv.FormatUint(v, 10) }
