// Package commands holds the subcommands of caperdrum.
package commands

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"

	"caperdrum.org/api/strictini"
	"caperdrum.org/ctl/adminclient"
)

// adminFlags are shared by all commands that call the control processes.
type adminFlags struct {
	admin, keyFile string
	tls            adminclient.TLS
}

const (
	adminEnv = "CAPERDRUM_ADMIN"
	keyEnv   = "CAPERDRUM_KEY"

	caEnv      = "CAPERDRUM_TLS_CA"
	certEnv    = "CAPERDRUM_TLS_CERT"
	certKeyEnv = "CAPERDRUM_TLS_KEY"
)

func (a *adminFlags) SetFlags(f *flag.FlagSet) {
	f.StringVar(&a.admin, "admin", os.Getenv(adminEnv), "administration `addresses` of the control processes, comma-separated; default $"+adminEnv)
	f.StringVar(&a.keyFile, "key-file", "", "`file` that holds the team's key; default the value of $"+keyEnv)
	f.StringVar(&a.tls.CA, "tls-ca", os.Getenv(caEnv), "PEM `file` of the authority; default $"+caEnv+"; empty means plain text")
	f.StringVar(&a.tls.Certificate, "tls-cert", os.Getenv(certEnv), "PEM `file` of your certificate, for the time line; default $"+certEnv)
	f.StringVar(&a.tls.Key, "tls-key", os.Getenv(certKeyEnv), "PEM `file` of its key; default $"+certKeyEnv)
}

func (a *adminFlags) client() (*adminclient.Client, error) {
	addresses := strictini.SplitList(a.admin)
	if len(addresses) == 0 {
		return nil, fmt.Errorf("no administration addresses: set -admin or $%s", adminEnv)
	}
	key := os.Getenv(keyEnv)
	if a.keyFile != "" {
		data, err := os.ReadFile(a.keyFile)
		if err != nil {
			return nil, err
		}
		key = strings.TrimSpace(string(data))
	}
	if a.tls.CA == "" {
		return adminclient.New(addresses, key), nil
	}
	return adminclient.NewTLS(addresses, key, a.tls)
}

func usage(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitUsageError
}

func failure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

// readText returns the operators' text in the file that the single argument
// names; "-" is standard input.
func readText(f *flag.FlagSet) (string, error) {
	if f.NArg() != 1 {
		return "", fmt.Errorf("name one text file, or - for standard input")
	}
	var data []byte
	var err error
	if f.Arg(0) == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(f.Arg(0))
	}
	return string(data), err
}
