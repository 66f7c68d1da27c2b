// Package statement parses, checks, formats and compares the operators' rules, one rule a line.
package statement
