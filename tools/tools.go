// Package tools pins the versions of the programs that the build uses.
package tools
