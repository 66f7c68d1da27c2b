// Package desired stands in for a platform's formats in tests: it stores the product's types as they are and
// names the heads of calls after what they hold.
package desired
