// Package commands implements the subcommands of caperdrum.
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

// adminFlags are the flags of all commands that call the control processes.
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
	f.StringVar(&a.keyFile, "key-file", "", "`file` with the team's key; default the value of $"+keyEnv)
	f.StringVar(&a.tls.CA, "tls-ca", os.Getenv(caEnv), "PEM `file` of the CA; default $"+caEnv+"; empty means plain text")
	f.StringVar(&a.tls.Certificate, "tls-cert", os.Getenv(certEnv), "PEM `file` of your certificate, for the timeline; default $"+certEnv)
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

// readText reads the operators' configuration from the file that the single argument names, or from standard
// input if that is "-".
func readText(f *flag.FlagSet) (string, error) {
	if f.NArg() != 1 {
		return "", fmt.Errorf("expected one argument: a configuration file, or - for standard input")
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
