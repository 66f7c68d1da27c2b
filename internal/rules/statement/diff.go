package statement

import "strings"

// maxDiffCells bounds the table of a line comparison; larger changes are shown as a whole replacement.
const maxDiffCells = 4 << 20

// Diff returns the lines that differ between two texts, "-" before removed and "+" before added ones,
// or "" when the rules are the same.
func Diff(from, to string) string {
	a, b := trimCommon(textLines(from), textLines(to))
	if len(a)*len(b) > maxDiffCells {
		return replaceAll(a, b)
	}
	common := commonSuffixes(a, b)
	var out strings.Builder
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
			out.WriteString("- " + a[i] + "\n")
			i++
		default:
			out.WriteString("+ " + b[j] + "\n")
			j++
		}
	}
	return out.String()
}

func textLines(text string) []string {
	text = strings.TrimSuffix(text, "\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// commonSuffixes returns the longest common subsequence length of a[i:] and b[j:].
func commonSuffixes(a, b []string) [][]int {
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

// trimCommon drops the equal lines at both ends.
func trimCommon(a, b []string) ([]string, []string) {
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	return a, b
}

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
