package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"bulrushshed/keys"
)

const keyMode = 0o600

type keysCommand struct {
	dir  string
	role string
	ips  string
}

func (*keysCommand) Name() string     { return "keys" }
func (*keysCommand) Synopsis() string { return "create a CA, or a certificate signed by it" }
func (*keysCommand) Usage() string {
	return `bulrushctl keys -dir keys ca
bulrushctl keys -dir keys -role host -ips 127.0.1.1 entry-1
bulrushctl keys -dir keys -role operator ortiz
`
}

func (c *keysCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", ".", "directory of the keys and certificates")
	f.StringVar(&c.role, "role", string(keys.RoleHost), "role of the certificate: host or operator")
	f.StringVar(&c.ips, "ips", "", "IP addresses of the host, comma-separated")
}

func (c *keysCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name := f.Arg(0)
	if name == "" {
		return fail(subcommands.ExitUsageError, fmt.Errorf("got no argument, want ca or the name of a host or operator"), c.Usage())
	}
	pair, err := c.make(name)
	if err != nil {
		return fail(subcommands.ExitFailure, err, "")
	}
	if err := c.writePair(name, pair); err != nil {
		return fail(subcommands.ExitFailure, err, "")
	}
	return subcommands.ExitSuccess
}

func (c *keysCommand) make(name string) (keys.Pair, error) {
	if name == "ca" {
		return keys.NewCA(time.Now())
	}
	ca, err := c.readPair("ca")
	if err != nil {
		return keys.Pair{}, err
	}
	var ips []net.IP
	for _, text := range strings.Split(c.ips, ",") {
		ip := net.ParseIP(text)
		if text != "" && ip == nil {
			return keys.Pair{}, fmt.Errorf("-ips: got %q, want an IP address", text)
		}
		if ip != nil {
			ips = append(ips, ip)
		}
	}
	if c.role != string(keys.RoleHost) && c.role != string(keys.RoleOperator) {
		return keys.Pair{}, fmt.Errorf("-role: got %q, want host or operator", c.role)
	}
	return keys.New(ca, keys.Role(c.role), name, ips, time.Now())
}

func (c *keysCommand) readPair(name string) (keys.Pair, error) {
	cert, err := os.ReadFile(filepath.Join(c.dir, name+".crt"))
	if err != nil {
		return keys.Pair{}, err
	}
	key, err := os.ReadFile(filepath.Join(c.dir, name+".key"))
	return keys.Pair{Cert: cert, Key: key}, err
}

// writePair writes the certificate and key files. It overwrites no file, but fails
// if one of them exists.
func (c *keysCommand) writePair(name string, p keys.Pair) error {
	for suffix, text := range map[string][]byte{".crt": p.Cert, ".key": p.Key} {
		path := filepath.Join(c.dir, name+suffix)
		file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyMode)
		if err != nil {
			return err
		}
		if _, err := file.Write(text); err != nil {
			return err
		}
		if err := file.Close(); err != nil {
			return err
		}
	}
	return nil
}
