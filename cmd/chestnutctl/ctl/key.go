package ctl

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"flag"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// keyPrefix lets scanners for leaked secrets recognise keys.
	keyPrefix = "cdk_"
	// keyBytes is the number of random bytes in a key. Hashes of keys are stored
	// without salt, so keys need enough entropy to make guessing infeasible.
	keyBytes = 32
)

var keyNewCommand = command{
	name:    "key new",
	summary: "Print a new random key and its hash",
	help: `The key goes to the customer, who presents it as the password. Its hash goes
into a ticket:

  customers:
    talaa:
      keys:
        - id: "2026-11"
          sha256: HASH

The key is printed once and stored nowhere.
`,
	setup: func(f *flag.FlagSet) func(context.Context, Env, []string) int {
		asJSON := f.Bool("json", false, "print JSON")
		return func(_ context.Context, env Env, args []string) int {
			if err := expectNoArguments(args); err != nil {
				return env.fail(err)
			}
			return newKey(env, *asJSON)
		}
	},
}

func newKey(env Env, asJSON bool) int {
	var random [keyBytes]byte
	if _, err := io.ReadFull(env.Random, random[:]); err != nil {
		return env.fail(eris.Wrap(err, "no random numbers"))
	}
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(random[:])
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	if asJSON {
		return env.printJSON(map[string]string{"key": key, "sha256": hash})
	}
	env.printf("key:    %s\nsha256: %s\n", key, hash)
	return ExitOK
}
