package ctl

import (
	"context"
	"flag"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/platform"
)

var configCheckCommand = command{
	name:    "config check",
	args:    "FILE",
	summary: "Check the configuration of a platform's fleet before it is sent",
	help: `FILE has the configuration in JSON, as in the platform's store: the whole object
or only its spec. Errors are what VMs refuse. Warnings are entries that can never
match and limits that contradict each other. With -in-force the differences from
that version are printed, and a version that VMs would ignore is an error. Keys
are not printed. Exit code 1 means that there are errors, with -strict also that
there are warnings.
`,
	setup: func(f *flag.FlagSet) func(context.Context, Env, []string) int {
		inForce := f.String("in-force", "", "`FILE` with the version in force, in the same form")
		strict := f.Bool("strict", false, "exit with code 1 if there are warnings")
		asJSON := f.Bool("json", false, "print the result in JSON")
		return func(_ context.Context, env Env, args []string) int {
			path, err := expectOneFile(args)
			if err != nil {
				return env.fail(err)
			}
			text, err := env.ReadFile(path)
			if err != nil {
				return env.fail(eris.Wrap(err, "the configuration cannot be read"))
			}
			var before []byte
			if *inForce != "" {
				if before, err = env.ReadFile(*inForce); err != nil {
					return env.fail(eris.Wrap(err, "the version in force cannot be read"))
				}
			}
			r := platform.CheckConfig(text, before)
			if *asJSON {
				if code := env.printJSON(r); code != ExitOK {
					return code
				}
			} else {
				printCheck(env, path, r)
			}
			if r.Errors > 0 || *strict && r.Warnings > 0 {
				return ExitError
			}
			return ExitOK
		}
	},
}

// printCheck prints one line for each problem and each change.
func printCheck(env Env, path string, r platform.CheckReport) {
	for _, p := range r.Problems {
		env.printf("%s: %s: %s\n", strings.Join(notEmpty(path, p.Location, p.Name), ": "), p.Severity, p.Message)
	}
	for _, c := range r.Changes {
		env.printf("%s %s\n", c.Kind, strings.Join(notEmpty(c.Section, c.Name, strings.Join(c.Details, "; ")), " "))
	}
	env.printf("version %d: %d errors, %d warnings, %d changes\n", r.Version, r.Errors, r.Warnings, len(r.Changes))
}

func notEmpty(parts ...string) []string {
	var rest []string
	for _, p := range parts {
		if p != "" {
			rest = append(rest, p)
		}
	}
	return rest
}
