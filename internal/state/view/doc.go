// Package view derives from the catalog an immutable view of rules, pins and members for the path of a request.
package view
