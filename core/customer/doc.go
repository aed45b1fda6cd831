// Package customer tells on behalf of which customer a caller acts, and when the sessions of a withdrawn key end.
//
// A caller presents a key. A Directory, made from the configuration in force, maps the key's KeyID to the customer that
// holds it. Keys are added and withdrawn while callers are connected, so a session resolves its key again for each
// statement outside a transaction and at the beginning of each transaction.
//
// # Usage
//
//	directory := customer.NewDirectory(configuration.Customers)
//	holder, admitted := directory.Identify(topology.NewKeyID(key), pool.AllowAnonymous)
//	if !admitted {
//		return result.New(result.Authentication, "the key is not known")
//	}
package customer
