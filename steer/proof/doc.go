// Package proof obtains proofs that the settings in force on a host were the newest ones recently, so that withdrawn API keys
// are not accepted. In each region one host reads the store and answers the others over links; docs/design/proof.md has the
// rules and what happens when a host, a link or the store fails.
package proof
