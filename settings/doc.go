// Package settings parses the INI texts that configure springweir: the process file (where a
// process runs and the addresses it uses), the gateway file, and the tree that operators edit
// (pools, services, availability zones, endpoints, organisations and models).
//
// Every key is defined once in Keys, with its type, unit, range, default and a line of
// documentation. The checks, the explanations of values and the reference page are derived from
// these definitions.
//
// A value is looked up from the most specific section to the most general one. The first section
// that sets the key wins:
//
//	endpoint:      [endpoint "e"], then its pool or service in its zone
//	pool in zone:  [pool "p" zone "z"], [pool "p"], the same two of p's parent
//	               and so on, [zone "z"], [region of z], [defaults], built-in
//	service:       as a pool
//	organisation:  [organisation "o"], its parents, [defaults], built-in
//
// A Tree is immutable and safe for concurrent use.
package settings
