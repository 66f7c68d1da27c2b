package statement

import "strings"

// maxDiffCells limits the size of the table for the longest common subsequence, in cells. For larger changes,
// Diff lists all changed lines of the old text as removed and all of the new text as added.
const maxDiffCells = 4 << 20

// Diff returns the lines that differ between two texts, with the prefix "- " for removed and "+ " for added lines.
// It returns "" if the texts are equal.
func Diff(from, to string) string {
	a, b := trimCommon(textLines(from), textLines(to))
	if len(a)*len(b) > maxDiffCells {
		return replaceAll(a, b)
	}
	lengths := lcsLengths(a, b)
	var out strings.Builder
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || (i < len(a) && lengths[i+1][j] >= lengths[i][j+1]):
			out.WriteString("- " + a[i] + "\n")
			i++
		default:
			out.WriteString("+ " + b[j] + "\n")
			j++
		}
	}
	return out.String()
}

// textLines splits text into lines without their line breaks.
func textLines(text string) []string {
	text = strings.TrimSuffix(text, "\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// lcsLengths returns a table whose element [i][j] is the length of the longest common subsequence of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int {
	table := make([][]int, len(a)+1)
	for i := range table {
		table[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}

// trimCommon removes the common prefix and the common suffix of a and b.
func trimCommon(a, b []string) ([]string, []string) {
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	return a, b
}

// replaceAll returns a diff that removes all lines of a and adds all lines of b.
func replaceAll(a, b []string) string {
	var out strings.Builder
	for _, line := range a {
		out.WriteString("- " + line + "\n")
	}
	for _, line := range b {
		out.WriteString("+ " + line + "\n")
	}
	return out.String()
}
