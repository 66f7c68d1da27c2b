// Package delegate chooses the entry processes that do a duty for all others of their failure domain, such as reading
// the platform's store, so that its cost grows with the failure domains and not with the processes.
package delegate
