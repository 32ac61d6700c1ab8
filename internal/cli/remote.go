package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
)

// tokenVariable names the environment variable with the operator's token. A
// token on the command line would be visible in process listings.
const tokenVariable = "CYCLAMENBEAM_TOKEN"

// remoteFlags are the flags of commands that call a daemon's operators' API.
type remoteFlags struct {
	server    string
	tokenFile string
	authority string
	output    string
}

func (f *remoteFlags) add(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&f.server, "server", "http://127.0.0.1:9001", "a daemon's operators' API, URL")
	flags.StringVar(&f.tokenFile, "token-file", "", "file with the operator's token; default: the variable "+tokenVariable)
	flags.StringVar(&f.authority, "authority", "", "PEM file of the authority that signed the daemon's certificate")
	flags.StringVarP(&f.output, "output", "o", "table", "table, json or yaml")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(outputFormats, cobra.ShellCompDirectiveNoFileComp))
}

// client returns a client of the daemon that the flags name.
func (f *remoteFlags) client() (*operator.Client, error) {
	if err := checkOutput(f.output); err != nil {
		return nil, err
	}
	token := os.Getenv(tokenVariable)
	if f.tokenFile != "" {
		data, err := os.ReadFile(f.tokenFile)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, Error.New("no operator's token: set %s or --token-file", tokenVariable)
	}
	transport, err := f.transport()
	if err != nil {
		return nil, err
	}
	return operator.NewClient(f.server, token, transport), nil
}

// transport returns a transport that trusts the given authority; nil, for the
// client's default, without one.
func (f *remoteFlags) transport() (http.RoundTripper, error) {
	if f.authority == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(f.authority)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s holds no certificate", f.authority)
	}
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}, nil
}
