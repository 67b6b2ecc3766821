package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"persimmonrock.example/ops/certs"
)

// Default times of validity.
const (
	authorityValid = 10 * 365 * 24 * time.Hour
	peerValid      = 365 * 24 * time.Hour
)

var peerCommands = []spec{{
	name: "authority", summary: "make the authority that signs the processes' certificates",
	arguments: []string{"FOLDER"}, local: true,
	example: `
persimmonrock peer authority /secure/authority

writes ca.pem and key.pem into the folder. Keep key.pem where no instance reads it. A
folder that has an authority already is left as it is, with exit status 1.`,
	define: func(flags *flag.FlagSet) action {
		valid := flags.Duration("valid", authorityValid, "time of validity")
		return func(_ context.Context, s *session, args []string) error {
			return makeAuthority(s, args[0], *valid)
		}
	},
}, {
	name: "issue", summary: "make the certificate of one process",
	arguments: []string{"AUTHORITY", "NAME", "FOLDER"}, local: true,
	example: `
persimmonrock peer issue /secure/authority entry-1 out/entry-1

writes cert.pem, key.pem and ca.pem for the settings peers.tls. Run it again to renew:
a process reads changed files by itself.`,
	define: func(flags *flag.FlagSet) action {
		valid := flags.Duration("valid", peerValid, "time of validity")
		return func(_ context.Context, s *session, args []string) error {
			return issueCertificate(s, args[0], args[1], args[2], *valid)
		}
	},
}}

func makeAuthority(s *session, folder string, valid time.Duration) error {
	authority, err := certs.NewAuthority("persimmonrock", valid)
	if err != nil {
		return err
	}
	if err := authority.Save(folder); err != nil {
		return err
	}
	if s.json {
		return s.printJSON(map[string]string{"folder": folder})
	}
	fmt.Fprintf(s.stdout, "an authority in %s, valid for %s\n", folder, days(valid))
	return nil
}

func issueCertificate(s *session, folder, name, out string, valid time.Duration) error {
	authority, err := certs.LoadAuthority(folder)
	if err != nil {
		return err
	}
	files, err := authority.Issue(out, name, valid)
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(files)
	}
	fmt.Fprintf(s.stdout, "%s: %s, %s and %s, valid for %s\n", name, files.Cert, files.Key, files.CA, days(valid))
	return nil
}

func days(d time.Duration) string { return fmt.Sprintf("%d days", int(d.Hours()/24)) }
