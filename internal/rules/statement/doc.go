// Package statement parses, validates, formats and compares the text of the operators' rules, which has one rule
// per line.
package statement
